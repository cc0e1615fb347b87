//! Environment variables of the program.

/// The environment variables of one run; unset or empty ones are `None`.
#[derive(Clone, Debug, Default)]
pub struct Env {
    /// `HEATHERKNOT_SERVERS`: addresses of daemons, separated by commas.
    pub servers: Option<String>,
    /// `HEATHERKNOT_KEY`: the operator's key.
    pub key: Option<String>,
    /// `HEATHERKNOT_KEY_FILE`: the file that holds the operator's key.
    pub key_file: Option<String>,
}

impl Env {
    /// Reads the variables of the process.
    pub fn from_process() -> Env {
        let get = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
        Env {
            servers: get("HEATHERKNOT_SERVERS"),
            key: get("HEATHERKNOT_KEY"),
            key_file: get("HEATHERKNOT_KEY_FILE"),
        }
    }
}
