//! Callers of a soak, and what they and the backend servers saw together.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::fleet::{Fleet, HOST, ONCE, SAFE};
use crate::support::caller::{Connection, header, new_id};

/// Callers at once.
const CALLERS: u64 = 6;
/// The pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;
/// Of the requests that are answered at all, at least this part is answered well even while
/// faults come; less means that nothing was tested.
const LEAST_SERVED: f64 = 0.2;

/// What a caller saw of one request.
struct Seen {
    id: String,
    once: bool,
    /// The status and body; nothing where the connection ended without an answer.
    answer: Option<(u16, String, Option<String>)>,
}

/// Running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Seen>>>,
}

impl Callers {
    /// Starts callers that use all daemons.
    pub fn start(fleet: &Fleet, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let (stop, addresses) = (Arc::clone(&stop), fleet.addresses());
            let mut rng = fastrand::Rng::with_seed(seed * 1_000 + number);
            std::thread::spawn(move || {
                let mut seen = Vec::new();
                let mut kept: Option<Connection> = None;
                while !stop.load(Ordering::Relaxed) {
                    // A connection is used for as long as it works, whatever look-ups say.
                    if kept.is_none() {
                        kept = Connection::open(addresses[rng.usize(..addresses.len())]);
                    }
                    let once = rng.bool();
                    let (method, path) = if once { ("POST", ONCE) } else { ("GET", SAFE) };
                    let id = new_id();
                    let asked = kept.as_mut().map(|c| c.ask(method, HOST, path, &id));
                    if let Some(answer) = asked {
                        let is_last = answer.as_ref().is_none_or(|a| a.has("connection"));
                        kept = kept.filter(|_| !is_last);
                        let answer = answer.map(|a| {
                            let echoed = header(&a.head, "request-id");
                            (a.status, a.body, echoed)
                        });
                        seen.push(Seen { id, once, answer });
                    }
                    std::thread::sleep(Duration::from_millis(rng.u64(PAUSE_MS)));
                }
                seen
            })
        };
        let threads = (0..CALLERS).map(start).collect();
        Self { stop, threads }
    }

    /// Stops the callers; gives the promises that were broken.
    pub fn stop(self, fleet: &Fleet) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        let seen: Vec<Seen> = threads
            .flat_map(|t| t.join().expect("callers end"))
            .collect();
        // What was sent before the callers stopped may still be on its way to a server.
        std::thread::sleep(Duration::from_millis(500));
        let mut broken: Vec<String> = seen.iter().filter_map(|s| judge(s, fleet)).collect();
        let answered: Vec<u16> = seen
            .iter()
            .filter_map(|s| Some(s.answer.as_ref()?.0))
            .collect();
        let served = answered.iter().filter(|status| **status == 200).count();
        if (served as f64) < answered.len() as f64 * LEAST_SERVED || served == 0 {
            broken.push(format!(
                "only {served} of {} answers are good",
                answered.len()
            ));
        }
        broken
    }
}

/// Compares what a caller saw of a request with what the servers ran.
fn judge(seen: &Seen, fleet: &Fleet) -> Option<String> {
    let runs: u32 = fleet
        .servers()
        .map(|server| server.server.runs_of(&seen.id))
        .sum();
    let id = &seen.id;
    if seen.once && runs > 1 {
        return Some(format!(
            "request {id}, which may run once, ran {runs} times"
        ));
    }
    let (status, body, echoed) = seen.answer.as_ref()?;
    match status {
        200 => {
            let ran = fleet
                .servers()
                .any(|s| s.server.runs_of(id) > 0 && *body == format!("{}\n", s.id));
            let is_own = echoed.as_deref() == Some(id.as_str());
            (!ran || !is_own).then(|| format!("request {id} got the answer of another: {body:?}"))
        }
        503 if seen.once && runs > 0 => Some(format!("request {id} was called not run, and ran")),
        400..=499 => Some(format!(
            "request {id} was answered {status}, though its route is there"
        )),
        _ => None,
    }
}
