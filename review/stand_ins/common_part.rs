//! Case 2: after a restart of all daemons, some replicas crash, and a part of the prompt that all
//! requests share is blamed for it.

#[path = "base.rs"]
#[allow(dead_code)]
mod base;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base::*;

const REPLICAS: usize = 12;
const SLOTS: usize = 26;
const EVENTS: u64 = 25;
const EVENT_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 1_200;

const PER_S: u64 = 40;
const CALM: Duration = Duration::from_secs(8);
/// How long the daemons are down, as `kill_all` of the site file.
const DOWN: Duration = Duration::from_millis(740);
/// When replicas crash, counted from the restart of the daemons, and how many: 2 of 12 each time,
/// which is `srv_crash` with its share of 0.17.
const CRASHES: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_millis(1_900)];
const CRASH_COUNT: usize = 2;
/// After what time a crashed replica is back, with a new id.
const RESTART: Duration = Duration::from_secs(2);
/// The bound of the rule, and for how long requests are judged after it.
const RECOVERY: Duration = Duration::from_secs(12);
const JUDGED: Duration = Duration::from_secs(25);

/// The zone of all clients, as an index. The platform hands their connections to the daemon of their
/// zone; the daemon that tries refused requests is that of zone 0, which its name decides.
const CALLERS_ZONE: usize = 1;

const ZONES: [&str; 3] = ["abdali-hall", "marka-hall", "tabarbour-hall"];

// ---------------------------------------------------------------- a replica, a process of its own

struct Replica {
    id: String,
    running: Mutex<usize>,
    freed: Condvar,
}

impl Replica {
    fn serve(&self, mut conn: Conn) {
        while let Ok(req) = conn.read() {
            let not_run = ("Cherrystand-Not-Executed", "1");
            let Some(id) = req.header("cherrystand-request-id") else {
                let _ = conn.stream.write_all(&answer("400 Bad Request", &[not_run], b""));
                continue;
            };
            let own = ("Cherrystand-Request-Id", id);
            if req.header("cherrystand-expect-instance").is_some_and(|wanted| wanted != self.id) {
                let _ = conn.stream.write_all(&answer("421 Misdirected Request", &[own, not_run], b""));
                continue;
            }
            {
                let mut running = lock(&self.running);
                while *running >= SLOTS {
                    running = self.freed.wait(running).unwrap_or_else(|err| err.into_inner());
                }
                *running += 1;
            }
            println!("run {} {id}", self.id);
            let whole = stream(&mut conn, &self.id, id);
            *lock(&self.running) -= 1;
            self.freed.notify_one();
            if whole.is_err() {
                return;
            }
        }
    }
}

fn stream(conn: &mut Conn, replica: &str, id: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Cherrystand-Request-Id: {id}\r\nCherrystand-Response-Seal: {replica}.{id}\r\n\r\n"
    );
    conn.stream.write_all(head.as_bytes())?;
    for number in 0..EVENTS {
        thread::sleep(ms(EVENT_MS));
        if conn.is_closed() {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let event = event(id, number);
        conn.stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    conn.stream.write_all(b"0\r\n\r\n")
}

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

fn replica(id: String, zone: String, store: SocketAddr) {
    let listener = listen();
    let address = listener.local_addr().expect("an address");
    let replica = Arc::new(Replica { id: id.clone(), running: Mutex::default(), freed: Condvar::new() });
    accept_all(listener, move |conn| replica.serve(conn));
    loop {
        let entry = format!(
            r#"{{"service":"stories","address":"{address}","zone":"{zone}","version":"1","slots":{SLOTS},"state":"ready","cold_left_ms":0,"seq_no":0}}"#
        );
        let key = [("Key", format!("servers/{id}"))];
        let headers: Vec<(&str, &str)> = key.iter().map(|(name, value)| (*name, value.as_str())).collect();
        let _ = call(store, "POST", "/beat", &headers, entry.as_bytes(), ms(1_000));
        thread::sleep(ms(HEARTBEAT_MS));
    }
}

/// Takes the heartbeats of replicas, and removes entries after three that are missing.
fn take_heartbeats(store: Store) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().expect("an address");
    let seen = Arc::new(Mutex::new(BTreeMap::<String, Instant>::new()));
    let (held, kept) = (store.clone(), seen.clone());
    accept_all(listener, move |mut conn| {
        if let Ok(beat) = conn.read() {
            let key = beat.header("key").unwrap_or_default().to_owned();
            held.put(&key, &String::from_utf8_lossy(&beat.body));
            lock(&kept).insert(key, Instant::now());
            let _ = conn.stream.write_all(&answer("200 OK", &[], b""));
        }
    });
    thread::spawn(move || loop {
        thread::sleep(ms(100));
        let mut seen = lock(&seen);
        let gone = seen.iter().filter(|(_, at)| at.elapsed() > ms(3 * HEARTBEAT_MS));
        for key in gone.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            seen.remove(&key);
            store.remove(&key);
        }
    });
    address
}

struct Fleet {
    children: Vec<(String, Child)>,
    next: usize,
    beats: SocketAddr,
    runs: PathBuf,
}

impl Fleet {
    fn start_one(&mut self) {
        let (id, zone) = (format!("i-{:04}", self.next), ZONES[self.next % ZONES.len()]);
        self.next += 1;
        let log = std::fs::File::create(self.runs.join(format!("{id}.runs"))).expect("a log");
        let own = std::env::current_exe().expect("the own program");
        let child = Command::new(own)
            .args(["replica", &id, zone, &self.beats.to_string()])
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap_or_else(|err| cannot_run(&format!("a replica does not start: {err}")));
        self.children.push((id, child));
    }

    fn crash_oldest(&mut self, record: &Record) {
        let (id, mut child) = self.children.remove(0);
        let _ = child.kill();
        let _ = child.wait();
        record.line(&format!("replica {id} is killed"));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

// ---------------------------------------------------------------- clients

struct Sent {
    at: Instant,
    status: u16,
    whole: bool,
}

fn ask(to: SocketAddr, id: &str) -> (u16, bool) {
    let parts = format!("5c1e07a2:40,{:x}:800", fnv(id));
    let headers = [
        ("Host", "site.example"),
        ("Cherrystand-Request-Id", id),
        ("Cherrystand-Deadline-Ms", "8000"),
        ("Cherrystand-Model", "m0"),
        ("Cherrystand-Token-Usage", "840,175"),
        ("Cherrystand-Prompt-Prefix", parts.as_str()),
    ];
    match call(to, "POST", "/story/1", &headers, format!("prompt of {id}").as_bytes(), ms(8_500)) {
        Ok(got) => {
            let wanted: String = (0..EVENTS).map(|number| event(id, number)).collect();
            (got.status(), got.status() == 200 && got.body == wanted.as_bytes())
        }
        Err(_) => (0, false),
    }
}

fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|verb| verb == "replica") {
        return replica(args[2].clone(), args[3].clone(), args[4].parse().expect("an address"));
    }
    let out = PathBuf::from(args.get(1).cloned().unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let callers_zone = std::env::var("CALLERS_ZONE").ok().and_then(|zone| zone.parse().ok()).unwrap_or(CALLERS_ZONE);
    let folder = Folder::new();
    let record = Record::new();
    let store = Store::default();
    let beats = take_heartbeats(store.clone());
    let mut fleet = Fleet { children: Vec::new(), next: 1, beats, runs: folder.0.clone() };
    (0..REPLICAS).for_each(|_| fleet.start_one());
    store.put(
        "op/config",
        r#"{"version":1,"routes":[{"name":"story","host":"site.example","path_prefix":"/story/","kind":"streaming","timeout_ms":8000,"latency_goal_ms":300,"gap_target_ms":300,"max_attempts":1,"priority":1,"service":"stories"}],"services":[{"name":"stories","max_conns":474}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":20000}}"#,
    );
    let names: Vec<(String, String)> =
        ZONES.iter().map(|zone| (format!("edge-{zone}-1"), (*zone).to_owned())).collect();
    let mut daemons = Daemon::start_named(&folder.0, &names, store.open());
    wait_until("the daemons are ready", ms(15_000), || daemons.iter().all(Daemon::is_ready));
    thread::sleep(ms(3_000));

    let to = daemons[callers_zone].callers;
    let all = Arc::new(Mutex::new(Vec::<Sent>::new()));
    let (begun, total) = (Instant::now(), Arc::new(AtomicU64::new(0)));
    let open = Arc::new(AtomicUsize::new(0));
    let end_at = CALM + DOWN + RECOVERY + JUDGED;
    let clients = {
        let (record, all, total, open) = (record.clone(), all.clone(), total.clone(), open.clone());
        thread::spawn(move || {
            while begun.elapsed() < end_at {
                let number = total.fetch_add(1, Ordering::Relaxed);
                let (record, all, open) = (record.clone(), all.clone(), open.clone());
                open.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    let (id, at) = (format!("q{number}"), Instant::now());
                    record.line(&format!("sent {id}"));
                    let (status, whole) = ask(to, &id);
                    record.line(&format!("answered {id} {status} whole {whole}"));
                    lock(&all).push(Sent { at, status, whole });
                    open.fetch_sub(1, Ordering::Relaxed);
                });
                let next = begun + Duration::from_secs(1) * (number as u32 + 1) / PER_S as u32;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        })
    };
    thread::sleep(CALM);
    record.line("final fault: all daemons are killed");
    let fault = Instant::now();
    daemons.iter_mut().for_each(Daemon::kill);
    thread::sleep(DOWN);
    Daemon::restart_all(&mut daemons);
    let back = Instant::now();
    record.line("all daemons are started again");
    if trouble {
        for at in CRASHES {
            thread::sleep((back + at).saturating_duration_since(Instant::now()));
            (0..CRASH_COUNT).for_each(|_| fleet.crash_oldest(&record));
        }
        thread::sleep(RESTART);
        (0..CRASH_COUNT * CRASHES.len()).for_each(|_| fleet.start_one());
        record.line("the replicas are back");
    }
    let _ = clients.join();
    let patience = Instant::now() + ms(9_500);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < patience {
        thread::sleep(ms(50));
    }
    let alive = daemons.iter_mut().all(Daemon::is_running);
    if std::env::var_os("KEEP").is_some() {
        eprintln!("{}", folder.0.display());
    }
    drop(daemons);

    let all = lock(&all);
    let share = |from: Instant, until: Instant| {
        let sent: Vec<&Sent> = all.iter().filter(|sent| sent.at >= from && sent.at < until).collect();
        let mut counts = BTreeMap::<u16, usize>::new();
        sent.iter().for_each(|sent| *counts.entry(sent.status).or_default() += 1);
        (sent.iter().filter(|sent| sent.whole).count(), sent.len(), counts)
    };
    // Streams of the last seconds before the fault are cut by it and say nothing of the time before.
    let before = share(begun, fault - ms(EVENTS * EVENT_MS + 500));
    let between = share(back, back + RECOVERY);
    let after = share(back + RECOVERY, begun + end_at + ms(1_000));
    let summary = format!(
        "before the final fault {} of {} served; in the {} s after {} of {} {:?}; later {} of {} {:?}; daemons-alive {alive}",
        before.0, before.1, RECOVERY.as_secs(), between.0, between.1, between.2, after.0, after.1, after.2
    );
    for entry in std::fs::read_dir(&folder.0).into_iter().flatten().flatten() {
        if entry.path().extension().is_some_and(|kind| kind == "runs") {
            std::fs::read_to_string(entry.path()).unwrap_or_default().lines().for_each(|line| record.line(line));
        }
    }
    record.line(&summary);
    println!("{summary}");
    record.save(&out);
    drop(fleet);
    drop(folder);
    let can_judge = before.0 * 4 >= before.1 && before.1 > 0 && after.1 > 0 && alive;
    let broken = can_judge && after.0 * 4 < after.1;
    std::process::exit(if broken { 1 } else if can_judge { 0 } else { 2 });
}
