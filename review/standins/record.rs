//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A file of lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the folder of the case is writable");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Appends a line.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Appends a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A temporary folder, which is removed when this is dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create() -> Self {
        let name = format!("heatherknot-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary folder is writable");
        Self(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
