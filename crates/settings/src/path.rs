//! Paths of nodes in the tree, and the part of the tree that a path belongs to.

use std::fmt;
use std::sync::Arc;

use snafu::OptionExt;

use crate::error::{PathSnafu, SettingsError};
use crate::names;
use crate::parse::{ACCOUNT_KEYS, ROOT_KEYS};

const MAX_SEGMENTS: usize = 32;
// The key of a quota is a complete account path.
const MAX_SEGMENT_BYTES: usize = 64 * names::MAX_DEPTH;

/// The path of a node: the keys from the root to the node. The root's path is empty.
///
/// The long form separates all keys with slashes, as in
/// `accounts/utilities/accounts/port-louis/services/gallery/deadline_ms`. The short form is the
/// account path, a colon and the remainder, as in `utilities/port-louis:gallery/deadline_ms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TreePath {
    segments: Vec<Arc<str>>,
}

/// The part of the tree that a path belongs to, which determines who may read and change it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The root object or its schema version.
    Root,
    /// The defaults that every account inherits.
    Defaults,
    /// The settings under `platform`.
    Platform,
    /// All operator keys, or a single one.
    Operators(Option<Arc<str>>),
    /// The branch of an account, given by its account path.
    Account(Arc<str>),
}

impl TreePath {
    /// Parses a path in its long or short form.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Path`] with the invalid segment. `.` and `..` are not valid
    /// segments, so that a path can't leave the branch that it starts in.
    pub fn parse(text: &str) -> Result<TreePath, SettingsError> {
        let trimmed = text.strip_prefix('/').unwrap_or(text);
        if trimmed.is_empty() {
            return Ok(TreePath::default());
        }
        let long = match trimmed.split_once(':') {
            Some((account, rest)) => expand_account_path(text, account, rest)?,
            None => trimmed.to_string(),
        };
        let segments: Vec<Arc<str>> = long.split('/').map(Arc::from).collect();
        check_segments(text, &segments)?;
        Ok(TreePath { segments })
    }

    /// Returns the path of an account's object.
    pub fn of_account(account: &str) -> TreePath {
        let mut segments = Vec::new();
        for name in account.split('/').filter(|name| !name.is_empty()) {
            segments.push(Arc::from("accounts"));
            segments.push(Arc::from(name));
        }
        TreePath { segments }
    }

    /// Returns the path of the child with the given key.
    #[must_use]
    pub fn child(&self, key: &str) -> TreePath {
        let mut segments = self.segments.clone();
        segments.push(key.into());
        TreePath { segments }
    }

    /// Returns the path of the parent, or `None` for the root.
    pub fn parent(&self) -> Option<TreePath> {
        let (_, above) = self.segments.split_last()?;
        Some(TreePath {
            segments: above.to_vec(),
        })
    }

    /// Returns the path relative to `above`, or `None` if this path isn't within it.
    pub fn below(&self, above: &TreePath) -> Option<TreePath> {
        let rest = self.segments.strip_prefix(&above.segments[..])?;
        Some(TreePath {
            segments: rest.to_vec(),
        })
    }

    /// Returns the keys from the root to the node.
    pub fn segments(&self) -> &[Arc<str>] {
        &self.segments
    }

    /// Returns the last key, or an empty string for the root.
    pub fn key(&self) -> &str {
        self.segments.last().map_or("", |key| key)
    }

    /// Returns whether this path is equal to `above` or below it.
    pub fn is_within(&self, above: &TreePath) -> bool {
        self.segments.starts_with(&above.segments)
    }

    /// Returns the part of the tree that the path belongs to.
    pub fn part(&self) -> Part {
        let Some(first) = self.segments.first() else {
            return Part::Root;
        };
        match &**first {
            "platform" => Part::Platform,
            "defaults" => Part::Defaults,
            "operators" => Part::Operators(self.segments.get(1).cloned()),
            "accounts" => Part::Account(self.account().into()),
            _ => Part::Root,
        }
    }

    /// Returns the account path of the innermost account on the path.
    fn account(&self) -> String {
        let pairs = self.segments.chunks(2);
        let names = pairs.map_while(|pair| match pair {
            [word, name] if &**word == "accounts" => Some(&**name),
            _ => None,
        });
        names.collect::<Vec<&str>>().join("/")
    }
}

impl fmt::Display for TreePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, segment) in self.segments.iter().enumerate() {
            let separator = if at == 0 { "" } else { "/" };
            write!(f, "{separator}{segment}")?;
        }
        Ok(())
    }
}

fn expand_account_path(path: &str, account: &str, rest: &str) -> Result<String, SettingsError> {
    names::is_branch(account).then_some(()).context(PathSnafu {
        path,
        segment: account,
        expected: "an account path before the colon",
    })?;
    let base = TreePath::of_account(account).to_string();
    if rest.is_empty() {
        return Ok(base);
    }
    let first = rest.split('/').next().unwrap_or_default();
    let services = if ACCOUNT_KEYS.contains(&first) {
        ""
    } else {
        "services/"
    };
    Ok(format!("{base}/{services}{rest}"))
}

fn check_segments(path: &str, segments: &[Arc<str>]) -> Result<(), SettingsError> {
    let refuse = |segment: &str, expected: &str| {
        PathSnafu {
            path,
            segment,
            expected,
        }
        .fail()
    };
    if segments.len() > MAX_SEGMENTS {
        return refuse(&segments[MAX_SEGMENTS], "at most 32 segments");
    }
    if !ROOT_KEYS.contains(&&*segments[0]) {
        let expected = "platform, defaults, accounts, operators or an account path with a colon";
        return refuse(&segments[0], expected);
    }
    let bad = segments.iter().find(|segment| !is_segment(segment));
    bad.map_or(Ok(()), |segment| {
        let expected = "lower-case letters, digits, `-`, `_` and single dots inside, not empty";
        refuse(segment, expected)
    })
}

fn is_segment(segment: &str) -> bool {
    let allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
    !segment.is_empty()
        && segment.len() <= MAX_SEGMENT_BYTES
        && segment.bytes().all(allowed)
        && !segment.starts_with('.')
        && !segment.ends_with('.')
        && !segment.contains("..")
}
