//! Writes log lines to standard output, bounded in volume and never blocking a request.
//!
//! Whoever reads the output may stall, and a full pipe would then stop the daemon in the
//! middle of a request. So lines go through a bounded queue to a thread of their own, and one
//! for which there is no room is dropped and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, json_format};
use heatherknot_types::prelude::*;
use log::Record;
use serde_json::Value;

/// Lines that wait for the reader at most; with lines of about 400 bytes under a megabyte.
const MAX_WAITING: usize = 2_048;
/// Bytes a second that a daemon writes on average at most: some 250 lines, several times what
/// a VM writes in an ordinary hour, and 5 GB a day, which a collector keeps up with.
pub const BYTES_PER_SECOND: f64 = 100_000.0;
/// Bytes that may be written at once after a quiet time.
pub const BURST_BYTES: f64 = 400_000.0;

/// A volume of bytes that refills with time.
#[derive(Debug)]
struct Allowance {
    left: f64,
    refilled: Instant,
}

impl Allowance {
    fn take(&mut self, bytes: usize, now: Instant) -> bool {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.left = (self.left + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
        let is_enough = self.left >= bytes as f64;
        if is_enough {
            self.left -= bytes as f64;
        }
        is_enough
    }
}

/// Whose lines they are. Lines of several VMs end up in one file, and nothing else in a line tells
/// them apart.
#[derive(Clone, Debug, Default)]
pub struct Origin {
    /// The beginning of each line's fields; empty where nobody is named.
    fields: String,
}

impl Origin {
    /// Names a VM and a run of its daemon.
    pub fn new(vm: &VmName, run: &str) -> Self {
        let (vm, run) = (Value::from(vm.as_str()), Value::from(run));
        Self {
            fields: format!("\"vm\":{vm},\"run\":{run},"),
        }
    }

    /// Puts the fields into a line, which is a JSON object.
    fn put_into(&self, line: &mut Vec<u8>) {
        if line.first() == Some(&b'{') {
            line.splice(1..1, self.fields.bytes());
        }
    }
}

/// Queues log lines for the thread that writes them.
pub struct BoundedWriter {
    origin: Origin,
    tx: SyncSender<Vec<u8>>,
    allowance: Mutex<Allowance>,
    dropped: Arc<AtomicU64>,
}

impl BoundedWriter {
    /// Starts the thread that writes lines of `origin` to `out`.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no thread.
    pub fn start(out: impl Write + Send + 'static, origin: Origin) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        let named = origin.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &rx, &counted, &named))?;
        Ok(Self {
            origin,
            tx,
            allowance: Mutex::new(Allowance {
                left: BURST_BYTES,
                refilled: Instant::now(),
            }),
            dropped,
        })
    }

    /// Queues a line, or counts it as dropped.
    pub fn queue(&self, line: Vec<u8>) {
        let mut allowance = self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_allowed = allowance.take(line.len(), Instant::now());
        drop(allowance);
        let queued = is_allowed.then(|| self.tx.try_send(line));
        if !matches!(queued, Some(Ok(()) | Err(TrySendError::Disconnected(_)))) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut line = Vec::with_capacity(512);
        json_format(&mut line, now, record)?;
        self.origin.put_into(&mut line);
        line.push(b'\n');
        self.queue(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines for as long as there are any to come, and says in between how many are not.
fn write_lines(mut out: impl Write, rx: &Receiver<Vec<u8>>, dropped: &AtomicU64, origin: &Origin) {
    while let Ok(line) = rx.recv() {
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let mut note = format!(
                "{{\"level\":\"WARN\",\"kv\":{{\"dropped\":{missing}}},\"text\":\"log lines were dropped\"}}\n"
            )
            .into_bytes();
            origin.put_into(&mut note);
            // Nobody reads the output any more: there is nobody to tell either.
            let _ = out.write_all(&note);
        }
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
