//! The rules for names in the tree.

/// The rule for names in words, for error messages.
pub const NAME_RULE: &str =
    "a name of 1 to 63 lower-case letters, digits and hyphens that begins with a letter or digit";

const MAX_NAME_BYTES: usize = 63;
/// The most accounts that may lie one in another.
pub const MAX_DEPTH: usize = 8;

/// Tells whether the text is a name of one segment.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.starts_with('-')
        && text.bytes().all(allowed)
}

/// Tells whether the text is the path of an account, or empty for the root.
pub fn is_branch(text: &str) -> bool {
    text.is_empty() || (text.split('/').all(is_name) && text.split('/').count() <= MAX_DEPTH)
}

/// Tells whether `branch` is `above` or lies under it.
pub fn is_within(branch: &str, above: &str) -> bool {
    above.is_empty()
        || branch
            .strip_prefix(above)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
