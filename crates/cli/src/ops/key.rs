//! The `new-key` command: generates an operator's key.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;

use heatherknot_settings::{NewKey, OperatorKey};
use serde_json::{Value as Json, json};
use snafu::ResultExt;

use crate::error::{CliError, FileSnafu, RandomSnafu};
use crate::exit::Exit;
use crate::options::Opt;
use crate::parse::Invocation;
use crate::report::Report;

/// The mode of the secret's file: only its owner may read and write it.
const SECRET_FILE_MODE: u32 = 0o600;

/// Generates a key, writes its secret to a new file and returns the object for the settings tree.
pub fn new_key(invocation: &Invocation) -> Result<Report, CliError> {
    let id = &invocation.args[0];
    let options = &invocation.options;
    let missing = |name: &str| CliError::usage(format!("new-key: expected --{name}"));
    let file = options
        .value(Opt::SecretFile)
        .ok_or_else(|| missing("secret-file"))?;
    let holder = options
        .value(Opt::Holder)
        .ok_or_else(|| missing("holder"))?;
    let rights = options
        .value(Opt::Rights)
        .ok_or_else(|| missing("rights"))?;
    let key = NewKey::generate(id).map_err(|cause| RandomSnafu { cause }.build())?;
    let object = json!({
        "branch": options.value(Opt::Branch).unwrap_or_default(),
        "holder": holder,
        "rights": rights.split(',').map(str::trim).collect::<Vec<&str>>(),
        "salt": key.salt,
        "hash": key.hash,
    });
    validate(id, &object)?;
    write_secret(file, &key.secret)?;
    let human = format!("{object:#}\n");
    Ok(Report::new(Exit::Ok, human, &object))
}

fn validate(id: &str, object: &Json) -> Result<(), CliError> {
    let fields = object.as_object().cloned().unwrap_or_default();
    let key = OperatorKey::read(id, &fields);
    key.map(|_| ())
        .map_err(|error| CliError::usage(error.to_string()))
}

fn write_secret(path: &str, secret: &str) -> Result<(), CliError> {
    let operation = "write the secret to";
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(SECRET_FILE_MODE);
    let mut file = options.open(path).context(FileSnafu { operation, path })?;
    writeln!(file, "{secret}").context(FileSnafu { operation, path })
}
