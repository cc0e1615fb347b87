//! The log never blocks a request and keeps to its volume.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

use heatherknot_daemon::log_writer::{BURST_BYTES, BoundedWriter, Origin};

/// Whether lines may be taken, and those that were.
type Taken = (Mutex<(bool, Vec<u8>)>, Condvar);

/// A reader that takes nothing until it is told to.
#[derive(Clone, Default)]
struct Stalled {
    taken: Arc<Taken>,
}

impl Stalled {
    fn go_on(&self) {
        self.taken.0.lock().expect("unpoisoned").0 = true;
        self.taken.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.taken.0.lock().expect("unpoisoned").1.clone()).expect("text")
    }
}

impl Write for Stalled {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let taken = self.taken.0.lock().expect("unpoisoned");
        let mut taken = self
            .taken
            .1
            .wait_while(taken, |taken| !taken.0)
            .expect("unpoisoned");
        taken.1.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(number: usize) -> Vec<u8> {
    format!("{{\"n\":{number}}}\n").into_bytes()
}

/// Story: whoever collects the log stalls, and the pipe fills. The daemon would stand still in
/// the middle of a request, and so would every caller.
#[test]
fn a_reader_that_stalls_stops_nobody_and_is_told_what_it_missed() {
    let reader = Stalled::default();
    let writer = BoundedWriter::start(reader.clone(), Origin::default()).expect("a thread");
    (0..5_000).for_each(|number| writer.queue(line(number)));
    reader.go_on();
    while !reader.text().contains("log lines were dropped") {
        writer.queue(line(9_999));
        std::thread::yield_now();
    }
    assert!(
        reader.text().contains("{\"n\":0}"),
        "the first lines are kept"
    );
}

#[test]
fn the_volume_is_bounded_whatever_happens() {
    let reader = Stalled::default();
    reader.go_on();
    let writer = BoundedWriter::start(reader.clone(), Origin::default()).expect("a thread");
    let long = vec![b'x'; 100_000];
    (0..1_000).for_each(|_| writer.queue(long.clone()));
    drop(writer);
    assert!(reader.text().len() as f64 <= BURST_BYTES * 1.5);
}

/// Story: the lines of all VMs end up in one file. Told as the first VM's, the story of a request
/// leads to the wrong VM.
#[test]
fn each_line_names_its_vm_and_run() {
    use flexi_logger::DeferredNow;
    use flexi_logger::writers::LogWriter;
    let reader = Stalled::default();
    reader.go_on();
    let origin = Origin::new(&"north-1".into(), "1764");
    let writer = BoundedWriter::start(reader.clone(), origin).expect("a thread");
    let record = log::Record::builder()
        .args(format_args!("listening"))
        .level(log::Level::Info)
        .build();
    writer
        .write(&mut DeferredNow::new(), &record)
        .expect("queued");
    drop(writer);
    while !reader.text().ends_with('\n') {
        std::thread::yield_now();
    }
    let line: serde_json::Value = serde_json::from_str(&reader.text()).expect("one JSON line");
    assert_eq!(
        (&line["vm"], &line["run"]),
        (&"north-1".into(), &"1764".into())
    );
    assert_eq!(line["text"], "listening");
}
