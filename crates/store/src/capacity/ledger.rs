//! The capacity ledger of one failure domain, as a value and its allowed changes.

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The parts that a failure domain's capacity is divided into.
pub const TOTAL_PARTS: u16 = 1000;

/// One VM's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The run of its daemon that holds the part.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Its part of [`TOTAL_PARTS`].
    #[serde(rename = "p")]
    pub part: u16,
}

/// The entries of one failure domain, in the order of the VMs' names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The entries.
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
}

/// What is wrong with a ledger that was read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LedgerError {
    /// The parts sum above the whole.
    #[snafu(display("parts sum to {sum}, more than {TOTAL_PARTS}"))]
    TooMuch {
        /// The sum.
        sum: u32,
    },
    /// Two entries name the same VM, or the entries are out of order.
    #[snafu(display("entries at {vm} are out of order or name it twice"))]
    Order {
        /// The second of the two.
        vm: VmName,
    },
}

impl Ledger {
    /// Checks a ledger that was read.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), LedgerError> {
        for pair in self.entries.windows(2) {
            if pair[0].vm >= pair[1].vm {
                let vm = pair[1].vm.clone();
                return Err(LedgerError::Order { vm });
            }
        }
        let sum = self.sum();
        match sum > u32::from(TOTAL_PARTS) {
            true => Err(LedgerError::TooMuch { sum }),
            false => Ok(()),
        }
    }

    /// Gives the sum of all parts.
    pub fn sum(&self) -> u32 {
        self.entries.iter().map(|entry| u32::from(entry.part)).sum()
    }

    /// Gives the parts that no VM holds.
    pub fn free(&self) -> u16 {
        TOTAL_PARTS.saturating_sub(self.sum().min(u32::from(TOTAL_PARTS)) as u16)
    }

    /// Finds a VM's entry.
    pub fn entry(&self, vm: &VmName) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|entry| entry.vm.cmp(vm));
        index.ok().map(|index| &self.entries[index])
    }

    /// Gives the part of one run of a VM's daemon: zero for any other run.
    pub fn part_of(&self, vm: &VmName, incarnation: Incarnation) -> u16 {
        let entry = self.entry(vm);
        let entry = entry.filter(|entry| entry.incarnation == incarnation);
        entry.map_or(0, |entry| entry.part)
    }

    /// Makes an entry of no part for a VM, or hands the entry of its daemon's earlier run to
    /// the present one.
    ///
    /// The earlier run can't use the part any more: a daemon joins only after it has bound
    /// the VM's address, which the earlier process held until its end.
    pub fn join(&mut self, vm: &VmName, incarnation: Incarnation) {
        match self.entries.binary_search_by(|entry| entry.vm.cmp(vm)) {
            Ok(index) => self.entries[index].incarnation = incarnation,
            Err(index) => {
                let vm = vm.clone();
                let part = 0;
                self.entries.insert(
                    index,
                    Entry {
                        vm,
                        incarnation,
                        part,
                    },
                );
            }
        }
    }

    /// Removes the entries of VMs that the platform's list reports gone.
    pub fn remove_vms(&mut self, gone: &[VmName]) {
        self.entries.retain(|entry| !gone.contains(&entry.vm));
    }

    /// Sets a VM's part, raised at most by what is free.
    pub fn set_part(&mut self, vm: &VmName, wanted: u16) {
        let free = self.free();
        let index = self.entries.binary_search_by(|entry| entry.vm.cmp(vm));
        if let Ok(index) = index {
            let entry = &mut self.entries[index];
            entry.part = wanted.min(entry.part + free);
        }
    }

    /// Gives the part that a VM should come to hold: an equal one among the VMs that are not
    /// leaving, with what the division leaves over for the first of them. Where all are
    /// leaving they share as before, so that the domain goes on serving until others join.
    pub fn target(&self, vm: &VmName, leaving: &[VmName]) -> u16 {
        let all = self.entries.iter().map(|entry| &entry.vm);
        let staying: Vec<&VmName> = all.clone().filter(|vm| !leaving.contains(vm)).collect();
        let sharing = match staying.is_empty() {
            true => all.collect(),
            false => staying,
        };
        let Some(rank) = sharing.iter().position(|other| *other == vm) else {
            return 0;
        };
        let count = sharing.len() as u16;
        let left_over = TOTAL_PARTS % count;
        TOTAL_PARTS / count + u16::from((rank as u16) < left_over)
    }
}
