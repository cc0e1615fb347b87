//! Reads the operator's key from a file or the environment. The command line never carries it,
//! because other users of the machine can read it in the process list.

use snafu::ResultExt;

use crate::env::Env;
use crate::error::{CliError, FileSnafu};
use crate::options::{Opt, Options};

/// Reads the key: from `--key-file`, `HEATHERKNOT_KEY` or `HEATHERKNOT_KEY_FILE`, in this order.
///
/// # Errors
///
/// Returns [`CliError::Usage`] if there is no key and [`CliError::File`] if the file can't be
/// read.
pub fn read(options: &Options, env: &Env) -> Result<String, CliError> {
    let from_option = options.value(Opt::KeyFile);
    if let (None, Some(key)) = (from_option, &env.key) {
        return Ok(key.trim().to_string());
    }
    let path = from_option.or(env.key_file.as_deref());
    let missing = "no operator's key: expected --key-file, HEATHERKNOT_KEY_FILE or HEATHERKNOT_KEY";
    let path = path.ok_or_else(|| CliError::usage(missing))?;
    let operation = "read the operator's key from";
    let key = std::fs::read_to_string(path).context(FileSnafu { operation, path })?;
    Ok(key.trim().to_string())
}
