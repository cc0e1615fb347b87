//! Numbers for names, so that a replay keeps its counts in plain vectors.

use std::collections::BTreeMap;

/// A list of names in order, and the number of each.
#[derive(Clone, Debug)]
pub struct Index<N> {
    names: Vec<N>,
    numbers: BTreeMap<N, usize>,
}

impl<N: Ord + Clone> Index<N> {
    /// Numbers `names` in the order given.
    pub fn new(names: impl IntoIterator<Item = N>) -> Self {
        let mut index = Self {
            names: Vec::new(),
            numbers: BTreeMap::new(),
        };
        for name in names {
            index.add(name);
        }
        index
    }

    /// Gives the number of `name`, a new one where it has none.
    pub fn add(&mut self, name: N) -> usize {
        if let Some(&number) = self.numbers.get(&name) {
            return number;
        }
        self.names.push(name.clone());
        self.numbers.insert(name, self.names.len() - 1);
        self.names.len() - 1
    }

    /// Gives the number of `name`.
    pub fn get(&self, name: &N) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Gives the number of a name that is known to be there.
    ///
    /// # Panics
    ///
    /// Panics where the name has no number.
    pub fn of(&self, name: &N) -> usize {
        self.numbers[name]
    }

    /// Gives the name of a number.
    ///
    /// # Panics
    ///
    /// Panics where no name has the number.
    pub fn name(&self, number: usize) -> &N {
        &self.names[number]
    }

    /// Gives the names in order of their numbers.
    pub fn names(&self) -> &[N] {
        &self.names
    }

    /// Gives how many names there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Tells whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
