//! Case 1: a replica sends a refusal twice, and the surplus one arrives where the answer to the
//! next request is due.

#[path = "base.rs"]
#[allow(dead_code)]
mod base;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;

use base::*;

/// As the application service of the small deployment: 3 replicas, 6 slots, a queue of 24.
const REPLICAS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: u64 = 60;

/// Requests in a second, evenly spread; the replicas can work on 300.
const PER_S: usize = 230;
const ROUNDS: u64 = 14;

/// Many users come at once: 1.7 times as many for 3 s, as `burst` of the site file.
const BURST: usize = 391;
const BURST_ROUNDS: std::ops::Range<u64> = 4..7;

/// The disruption: two of three replicas (share 0.6) send a second answer after 3 in 100 of their
/// answers, for 5 s, as `garble (extra late)` of the site file.
const FAULTY: usize = 2;
const SHARE: f64 = 0.03;
/// By how much a surplus answer is late at least.
const LATE_MS: u64 = 100;
const BEGIN_ROUND: u64 = 4;
const END_ROUND: u64 = 9;

struct Replica {
    id: String,
    /// Running and queued requests.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    faulty: bool,
    in_trouble: Arc<AtomicBool>,
    answers: AtomicU64,
    surplus: AtomicU64,
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    record: Record,
    seal: AtomicU64,
}

impl Replica {
    fn serve(&self, mut conn: Conn) {
        // A surplus answer that is late: it leaves where a later answer is due.
        let mut late: Option<(String, Vec<u8>, Instant)> = None;
        while let Ok(req) = conn.read() {
            if let Some((of, bytes, _)) = late.take_if(|(_, _, at)| at.elapsed() >= ms(LATE_MS)) {
                let next = req.header("cherrystand-request-id").unwrap_or("-").to_owned();
                self.record.line(&format!("surplus {} 503 of={of} before-answer-to={next}", self.id));
                if conn.stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            let (bytes, refused) = match self.handle(&conn, &req) {
                Some(done) => done,
                None => return,
            };
            if conn.stream.write_all(&bytes).is_err() {
                return;
            }
            let is_due = self.faulty && self.in_trouble.load(Ordering::Relaxed);
            if !is_due {
                continue;
            }
            // Only the answers of the time of the disruption count for its share.
            let sent = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let surplus = self.surplus.load(Ordering::Relaxed);
            if refused && late.is_none() && (surplus + 1) as f64 <= SHARE * sent as f64 {
                self.surplus.fetch_add(1, Ordering::Relaxed);
                let of = req.header("cherrystand-request-id").unwrap_or_default().to_owned();
                late = Some((of, bytes, Instant::now()));
            }
        }
    }

    /// Returns the answer and whether it says that the request was not run, or nothing if the
    /// caller has left.
    fn handle(&self, conn: &Conn, req: &Message) -> Option<(Vec<u8>, bool)> {
        let not_run = ("Cherrystand-Not-Executed", "1");
        let Some(id) = req.header("cherrystand-request-id") else {
            return Some((answer("400 Bad Request", &[not_run], b""), true));
        };
        let own = ("Cherrystand-Request-Id", id);
        if req.header("cherrystand-expect-instance").is_some_and(|wanted| wanted != self.id) {
            return Some((answer("421 Misdirected Request", &[own, not_run], b""), true));
        }
        {
            let mut load = lock(&self.load);
            if load.0 + load.1 >= SLOTS + QUEUE {
                self.record.line(&format!("refused {} {id}", self.id));
                return Some((answer("503 Service Unavailable", &[own, not_run], b""), true));
            }
            load.1 += 1;
            while load.0 >= SLOTS {
                load = self.freed.wait(load).unwrap_or_else(|err| err.into_inner());
            }
            load.1 -= 1;
            if conn.is_closed() {
                drop(load);
                self.freed.notify_one();
                return None;
            }
            load.0 += 1;
        }
        lock(&self.runs).entry(id.to_owned()).or_default().push(self.id.clone());
        self.record.line(&format!("run {} {id}", self.id));
        thread::sleep(ms(WORK_MS));
        lock(&self.load).0 -= 1;
        self.freed.notify_one();
        let seal = format!("{}.{}", self.id, self.seal.fetch_add(1, Ordering::Relaxed));
        let seal = ("Cherrystand-Response-Seal", seal.as_str());
        Some((answer("200 OK", &[own, seal], format!("done {id}").as_bytes()), false))
    }
}

fn heartbeats(store: Store, id: String, address: SocketAddr) {
    thread::spawn(move || {
        for seq_no in 0.. {
            let entry = format!(
                r#"{{"service":"app","address":"{address}","zone":"z1","version":"1","slots":{SLOTS},"state":"ready","cold_left_ms":0,"seq_no":{}}}"#,
                seq_no / 1_000_000
            );
            store.put(&format!("servers/{id}"), &entry);
            thread::sleep(ms(1_200));
        }
    });
}

fn main() {
    let out = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Folder::new();
    let record = Record::new();
    let store = Store::default();
    let in_trouble = Arc::new(AtomicBool::new(false));
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    for number in 0..REPLICAS {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let replica = Arc::new(Replica {
            id: format!("i-{number}"),
            load: Mutex::default(),
            freed: Condvar::new(),
            faulty: number < FAULTY,
            in_trouble: in_trouble.clone(),
            answers: AtomicU64::new(0),
            surplus: AtomicU64::new(0),
            runs: runs.clone(),
            record: record.clone(),
            seal: AtomicU64::new(0),
        });
        heartbeats(store.clone(), replica.id.clone(), address);
        accept_all(listener, move |conn| replica.serve(conn));
    }
    store.put(
        "op/config",
        r#"{"version":1,"routes":[{"name":"index","host":"site.example","path_prefix":"/index/","kind":"non_idempotent","timeout_ms":4000,"latency_goal_ms":300,"max_attempts":1,"priority":2,"service":"app"}],"services":[{"name":"app","max_conns":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":20000}}"#,
    );
    let mut daemons = Daemon::start_all(&folder.0, 3, store.open());
    wait_until("the daemons are ready", ms(15_000), || daemons.iter().all(Daemon::is_ready));
    thread::sleep(ms(3_000));

    let answers = Arc::new(Mutex::new(BTreeMap::<String, u16>::new()));
    let (begun, mut sent) = (Instant::now(), 0);
    for round in 0..ROUNDS {
        in_trouble.store(trouble && (BEGIN_ROUND..END_ROUND).contains(&round), Ordering::Relaxed);
        let per_s = if BURST_ROUNDS.contains(&round) { BURST } else { PER_S };
        for number in 0..per_s {
            let id = format!("r{round}-{number}");
            let to = daemons[number % daemons.len()].callers;
            let (record, answers) = (record.clone(), answers.clone());
            thread::spawn(move || {
                record.line(&format!("sent {id}"));
                let headers = [
                    ("Host", "site.example"),
                    ("Cherrystand-Request-Id", id.as_str()),
                    ("Cherrystand-Deadline-Ms", "4000"),
                ];
                let body = [b'x'; 600];
                let got = call(to, "POST", "/index/1", &headers, &body, ms(4_500));
                let status = got.as_ref().map_or(0, Message::status);
                record.line(&format!("answered {id} {status}"));
                lock(&answers).insert(id, status);
            });
            sent += 1;
            let next = begun + ms(1_000) * round as u32 + ms(1_000) * (number as u32 + 1) / per_s as u32;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }
    thread::sleep(ms(5_000));
    let alive = daemons.iter_mut().all(Daemon::is_running);
    drop(daemons);

    let (runs, answers) = (lock(&runs), lock(&answers));
    let twice: Vec<_> = runs.iter().filter(|(_, by)| by.len() > 1).collect();
    let refused: Vec<_> =
        runs.iter().filter(|(id, _)| answers.get(*id).is_some_and(|s| [429, 503, 408, 421].contains(s))).collect();
    for (id, by) in &twice {
        record.line(&format!("TWICE {id} run by {} answer {:?}", by.join(" "), answers.get(*id)));
    }
    for (id, by) in &refused {
        record.line(&format!("REFUSED {id} run by {} answer {:?}", by.join(" "), answers.get(*id)));
    }
    let mut counts = BTreeMap::<u16, usize>::new();
    answers.values().for_each(|status| *counts.entry(*status).or_default() += 1);
    let summary = format!(
        "sent {sent} answers {counts:?} run {} run-twice {} refused-though-run {} daemons-alive {alive}",
        runs.len(), twice.len(), refused.len()
    );
    record.line(&summary);
    println!("{summary}");
    record.save(&out);
    let broken = !twice.is_empty() || !refused.is_empty();
    let ran_at_all = !runs.is_empty() && alive;
    drop(folder);
    std::process::exit(if broken { 1 } else if ran_at_all { 0 } else { 2 });
}
