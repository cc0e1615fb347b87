//! Validation of request targets.

use std::borrow::Cow;

use snafu::ensure;

use crate::head::{HeadError, TargetSnafu};

/// Checks that a target is in origin form and that its path has no dot segments.
///
/// Recipients resolve `.` and `..` segments, plain or percent-encoded, in different ways:
/// `/public/../private` would bypass a rule for the prefix `/public`. Such a path is refused
/// instead of normalized.
pub(crate) fn check(target: &[u8]) -> Result<(), HeadError> {
    ensure!(
        target.first() == Some(&b'/'),
        TargetSnafu {
            cause: "not in origin form"
        }
    );
    let is_allowed = |b: &u8| b.is_ascii_graphic() && !b"#\\\"<>".contains(b);
    ensure!(
        target.iter().all(is_allowed),
        TargetSnafu {
            cause: "a character that must be percent-encoded"
        }
    );
    let path = target.split(|&b| b == b'?').next().unwrap_or_default();
    let decoded = match path.contains(&b'%') {
        true => Cow::Owned(percent_decode(path)?),
        false => Cow::Borrowed(path),
    };
    let has_dot_segment = decoded
        .split(|b| b"/\\".contains(b))
        .any(|segment| segment == b"." || segment == b"..");
    ensure!(
        !has_dot_segment,
        TargetSnafu {
            cause: "a `.` or `..` segment"
        }
    );
    ensure!(
        !decoded.iter().any(u8::is_ascii_control),
        TargetSnafu {
            cause: "an encoded control character"
        }
    );
    Ok(())
}

fn percent_decode(path: &[u8]) -> Result<Vec<u8>, HeadError> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((&b, after)) = rest.split_first() {
        rest = after;
        if b != b'%' {
            decoded.push(b);
            continue;
        }
        let Some((digits, after)) = rest.split_first_chunk::<2>() else {
            return invalid_percent_encoding();
        };
        rest = after;
        decoded.push(16 * hex_digit(digits[0])? + hex_digit(digits[1])?);
    }
    Ok(decoded)
}

fn hex_digit(b: u8) -> Result<u8, HeadError> {
    match (b as char).to_digit(16) {
        Some(digit) => Ok(digit as u8),
        None => invalid_percent_encoding(),
    }
}

fn invalid_percent_encoding<T>() -> Result<T, HeadError> {
    TargetSnafu {
        cause: "a `%` without two hexadecimal digits",
    }
    .fail()
}
