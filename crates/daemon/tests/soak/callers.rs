//! Callers of a soak, and what they and the backend servers saw together.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::fleet::{ACCOUNTS, Fleet, HOST, ONCE, SAFE, UNKNOWN_KEY, key_header};
use crate::support::caller::{Answer, Connection, header, new_id};

/// Callers at once.
const CALLERS: u64 = 6;
/// The pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;
/// Under load control: callers of the account that bursts, more than all servers' slots and queues
/// have room for; when it bursts; and the number of objects.
const BURST_CALLERS: u64 = 90;
const BURST: Duration = Duration::from_millis(1_000);
const BURST_EVERY: Duration = Duration::from_millis(2_500);
const OBJECTS: u64 = 40;
/// How long a caller under load control waits for an answer, a return included.
const TIME_LEFT: Duration = Duration::from_secs(3);
/// Of the requests that are answered at all, at least this part is answered well even while
/// faults come; less means that nothing was tested.
const LEAST_SERVED: f64 = 0.2;

/// What a caller saw of one request.
struct Seen {
    id: String,
    once: bool,
    /// The account that its key is of; nothing for a key of none.
    account: Option<usize>,
    /// The status and body; nothing where the connection ended without an answer.
    answer: Option<(u16, String, Option<String>)>,
}

/// What a caller wants; a refused one comes back for the same once.
#[derive(Clone, Copy)]
struct Wish {
    once: bool,
    account: Option<usize>,
    object: u64,
    began: Instant,
}

impl Wish {
    /// Gives how long its caller waits before it comes back after this answer, if it does.
    fn wait(&self, answer: &Answer) -> Option<Duration> {
        let told =
            header(&answer.head, "retry-after").filter(|_| matches!(answer.status, 429 | 503));
        let wait = Duration::from_secs_f64(told?.parse().ok()?);
        (wait <= TIME_LEFT.saturating_sub(self.began.elapsed()) / 3).then_some(wait)
    }
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
        let is_loaded = fleet.has_load_control();
        let bursting = (seed / 8 % 2) as usize;
        let began = Instant::now();
        let start = |number| {
            let (stop, addresses) = (Arc::clone(&stop), fleet.addresses());
            let bursts = number >= CALLERS;
            let mut rng = fastrand::Rng::with_seed(seed * 1_000 + number);
            std::thread::spawn(move || {
                let mut seen = Vec::new();
                let mut kept: Option<Connection> = None;
                let mut returning: Option<Wish> = None;
                while !stop.load(Ordering::Relaxed) {
                    let in_cycle = began.elapsed().as_millis() % BURST_EVERY.as_millis();
                    if bursts && returning.is_none() && in_cycle > BURST.as_millis() {
                        std::thread::sleep(Duration::from_millis(PAUSE_MS.start));
                        continue;
                    }
                    // A connection is used for as long as it works, whatever look-ups say.
                    if kept.is_none() {
                        kept = Connection::open(addresses[rng.usize(..addresses.len())]);
                    }
                    let is_return = returning.is_some();
                    let wish = returning.take().unwrap_or_else(|| {
                        let once = rng.bool();
                        let account = Some(rng.usize(..=ACCOUNTS.len()));
                        Wish {
                            once,
                            account: match bursts {
                                true => Some(bursting),
                                false => account.filter(|a| *a < ACCOUNTS.len()),
                            },
                            object: if is_loaded { rng.u64(..OBJECTS) } else { 7 },
                            began: Instant::now(),
                        }
                    });
                    let Wish { once, account, .. } = wish;
                    let key = account.map_or(UNKNOWN_KEY, |account| ACCOUNTS[account].1);
                    let (method, path) = if once { ("POST", ONCE) } else { ("GET", SAFE) };
                    let id = new_id();
                    let asked = kept.as_mut().map(|c| {
                        c.extra_headers = key_header(key);
                        c.object = wish.object;
                        let spent = match is_return {
                            true => wish.began.elapsed(),
                            false => Duration::ZERO,
                        };
                        c.time_left = TIME_LEFT.saturating_sub(spent).as_millis() as u64;
                        c.request(method, HOST, path, &id)
                    });
                    let mut pause = None;
                    if let Some(answer) = asked {
                        let is_last = answer.as_ref().is_none_or(|a| a.has("connection"));
                        kept = kept.filter(|_| !is_last);
                        if is_loaded && !is_return {
                            pause = answer.as_ref().and_then(|a| wish.wait(a));
                        }
                        let answer = answer.map(|a| {
                            let echoed = header(&a.head, "request-id");
                            (a.status, a.body, echoed)
                        });
                        seen.push(Seen {
                            id,
                            once,
                            account,
                            answer,
                        });
                    }
                    if pause.is_some() {
                        // It comes back to any of the daemons.
                        (returning, kept) = (Some(wish), None);
                    }
                    let pause = pause.unwrap_or_else(|| Duration::from_millis(rng.u64(PAUSE_MS)));
                    std::thread::sleep(pause);
                }
                seen
            })
        };
        let bursts = if is_loaded { BURST_CALLERS } else { 0 };
        let threads = (0..CALLERS + bursts).map(start).collect();
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
        broken.extend(judge_limits(fleet));
        let refused = answered.iter().filter(|status| **status == 503).count();
        if fleet.has_load_control() && refused == 0 {
            broken.push("no request was refused, so that no refusal was tested".to_owned());
        }
        let answered: Vec<u16> = answered
            .into_iter()
            .filter(|s| !matches!(s, 401 | 429))
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
    if let Some(wrong) = judge_account(seen, fleet) {
        return Some(wrong);
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
        // A refused request that ran would use a slot again when its caller comes back.
        503 if (seen.once || fleet.has_load_control()) && runs > 0 => {
            Some(format!("request {id} was called not run, and ran"))
        }
        401 if seen.account.is_none() => None,
        429 if seen
            .account
            .is_some_and(|account| ACCOUNTS[account].2 > 0.0) =>
        {
            (runs > 0).then(|| format!("request {id} was refused by its account's limit, and ran"))
        }
        400..=499 => Some(format!(
            "request {id} was answered {status}, though its route is there"
        )),
        _ => None,
    }
}

/// Compares what servers were told of a request's account with its key.
fn judge_account(seen: &Seen, fleet: &Fleet) -> Option<String> {
    let name = seen.account.map(|account| ACCOUNTS[account].0);
    let told = fleet
        .servers()
        .flat_map(|server| server.server.received_of(&seen.id));
    let is_wrong = |accounts: &[String], has_key| {
        has_key || name.is_none_or(|name| accounts != [name.to_owned()])
    };
    let mut wrong = told.filter(|told| is_wrong(&told.accounts, told.has_key));
    let told = wrong.next()?;
    Some(format!("request {} of {name:?} ran as {told:?}", seen.id))
}

/// Looks for five seconds in which more requests of an account ran than its limit allows: its rate
/// and burst, a tenth more, and twenty.
fn judge_limits(fleet: &Fleet) -> Vec<String> {
    let limited = ACCOUNTS
        .iter()
        .filter(|(_, _, per_second)| *per_second > 0.0);
    let over = limited.filter_map(|(name, _, per_second)| {
        let told = fleet.servers().flat_map(|server| server.server.received());
        let mine = told.filter(|told| told.accounts == [name.to_string()]);
        let mut ran: Vec<Instant> = mine.map(|told| told.at).collect();
        ran.sort();
        let window = Duration::from_secs(5);
        let within = |from: &Instant| {
            ran.iter()
                .filter(|at| **at >= *from && **at - *from < window)
                .count()
        };
        let most = ran.iter().map(within).max().unwrap_or(0);
        let allowed = (per_second * 6.0 * 1.1 + 20.0) as usize;
        (most > allowed)
            .then(|| format!("{most} requests of {name} ran in 5 s, {allowed} are allowed"))
    });
    over.collect()
}
