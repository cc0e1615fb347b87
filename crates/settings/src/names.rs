//! Validation of names and account paths.

/// Description of a valid name, for error messages.
pub const NAME_RULE: &str =
    "a name of 1 to 63 lower-case letters, digits and hyphens that begins with a letter or digit";

const MAX_NAME_BYTES: usize = 63;
/// Maximum nesting depth of accounts.
pub const MAX_DEPTH: usize = 8;

/// Returns whether the text is a valid single-segment name.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.starts_with('-')
        && text.bytes().all(allowed)
}

/// Returns whether the text is a valid account path, or empty for the root.
pub fn is_branch(text: &str) -> bool {
    text.is_empty() || (text.split('/').all(is_name) && text.split('/').count() <= MAX_DEPTH)
}

/// Returns whether `branch` is equal to `above` or nested in it.
pub fn is_within(branch: &str, above: &str) -> bool {
    above.is_empty()
        || branch
            .strip_prefix(above)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
