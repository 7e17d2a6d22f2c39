//! A small deployment on loopback addresses: the platform's store, endpoints and callers of a plain
//! service, as threads of one process, and the project's daemons as processes of their own.
//!
//! It needs nothing but the standard library. The stand-ins of this review include it.

#![allow(dead_code, reason = "not every stand-in needs all of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often an endpoint writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long the store takes to answer.
const STORE_ANSWER_TIME: Duration = Duration::from_millis(4);

/// A random generator that needs no library (xorshift).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// The lines of `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn now(&self) -> Duration {
        self.0.0.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// The head of a message and its body.
#[derive(Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Reads the head of a message; `None` if the connection ends before it.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']).to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first_line = lines.next().unwrap_or_default();
    let headers = lines.filter_map(|line| {
        let (key, value) = line.split_once(':')?;
        Some((key.to_ascii_lowercase(), value.trim().to_owned()))
    });
    Ok(Some(Message { first_line, headers: headers.collect(), body: Vec::new() }))
}

/// Reads a request: the daemons send bodies with a length.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    // With a linger time of zero the kernel sends a reset. The standard library has no stable call
    // for it, so the C library's is used.
    #[repr(C)]
    struct Linger {
        on: i32,
        secs: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, secs: 0 };
    // SAFETY: the descriptor is open and the value is of the length given.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// Serves connections on a loopback address, a thread each.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback address");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// An item of the store, as JSON, or the fact that it is gone.
#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Change>,
    history: Vec<Change>,
    leases: BTreeSet<u64>,
}

/// The platform's metadata store, as PROTOCOL.md tells it. It is never down, slow or full here.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    /// The addresses that this view of the store shows in place of the endpoints' own.
    links: Arc<BTreeMap<String, String>>,
}

impl Store {
    /// Returns the store as one daemon sees it: it reaches the endpoints through links of its own.
    pub fn seen_through(&self, links: &[Link]) -> Self {
        let links = links.iter().map(|link| (link.target.to_string(), link.address.to_string()));
        Self { shared: self.shared.clone(), links: Arc::new(links.collect()) }
    }

    fn item_json(&self, item: &Change) -> String {
        let (key, revision) = (&item.key, item.revision);
        let Some(value) = &item.value else {
            return format!("{{\"tls_key\":\"{key}\",\"revision\":{revision},\"is_gone\":true}}");
        };
        let mut value = String::from_utf8_lossy(value).into_owned();
        for (own, shown) in self.links.iter().filter(|_| key.starts_with("servers/")) {
            value = value.replace(&format!("\"{own}\""), &format!("\"{shown}\""));
        }
        let value = base64(value.as_bytes());
        format!(
            "{{\"tls_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
        )
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        self.change(key, Some(value.to_vec()));
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.shared.0.lock().unwrap();
        apply(&mut state, key, value);
        self.shared.1.notify_all();
    }

    pub fn serve(&self) -> SocketAddr {
        let store = self.clone();
        serve(move |stream| {
            let _ = store.serve_connection(&stream);
        })
    }

    fn serve_connection(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader)? {
            thread::sleep(STORE_ANSWER_TIME);
            let (status, body) = self.answer(&request);
            write!(
                writer,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.first_line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        match path {
            "/kv-key" => match state.items.get(&text("tls_key")) {
                Some(item) => (200, self.item_json(item)),
                None => (404, "{}".to_owned()),
            },
            "/kv-range" => {
                let (prefix, after) = (text("path_prefix"), text("since_rev"));
                let listed = state.items.values().filter(|item| {
                    item.key.starts_with(&prefix) && (after.is_empty() || item.key > after)
                });
                let items: Vec<String> = listed.map(|item| self.item_json(item)).collect();
                let items = items.join(",");
                let revision = state.revision;
                (200, format!("{{\"items\":[{items}],\"has_more\":false,\"timestamp\":{revision}}}"))
            }
            "/kv-watch" => {
                let (prefix, since) = (text("path_prefix"), number("since_rev"));
                let until = Instant::now() + Duration::from_millis(number("wait_ms"));
                loop {
                    let news = state.history.iter().filter(|change| {
                        change.revision > since && change.key.starts_with(&prefix)
                    });
                    let events: Vec<String> = news.map(|item| self.item_json(item)).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"timestamp\":{revision}}}"));
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/kv-txn" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let transaction = Transaction::read(&body);
                let holds = |(key, revision): &(String, u64)| {
                    state.items.get(key).map_or(0, |item| item.revision) == *revision
                };
                if !transaction.expected.iter().all(holds) {
                    let held = transaction.expected.iter();
                    let held: Vec<String> =
                        held.filter_map(|(key, _)| state.items.get(key)).map(|item| self.item_json(item)).collect();
                    return (412, format!("{{\"items\":[{}]}}", held.join(",")));
                }
                for (key, value) in transaction.writes {
                    apply(&mut state, &key, Some(value));
                }
                self.shared.1.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            "/kv-lease" => {
                let lease = 1_000 + state.leases.len() as u64;
                state.leases.insert(lease);
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":3000}}"))
            }
            _ if path.starts_with("/kv-keep/") => (200, "{\"ttl_ms\":3000}".to_owned()),
            _ => (400, "{}".to_owned()),
        }
    }
}

fn apply(state: &mut StoreState, key: &str, value: Option<Vec<u8>>) {
    state.revision += 1;
    let change = Change { key: key.to_owned(), revision: state.revision, value };
    match change.value {
        Some(_) => state.items.insert(key.to_owned(), change.clone()),
        None => state.items.remove(key),
    };
    state.history.push(change);
}

/// A transaction, read from the form in which the daemons write it: no text in it holds a quote.
struct Transaction {
    expected: Vec<(String, u64)>,
    writes: Vec<(String, Vec<u8>)>,
}

impl Transaction {
    fn read(body: &str) -> Self {
        let (expected, writes) = body.split_once("\"set_keys\"").unwrap_or((body, ""));
        let after = |text: &str, name: &str| {
            let from = text.split_once(&format!("\"{name}\":"))?.1.trim_start_matches('"');
            let end = from.find(['"', ',', '}']).unwrap_or(from.len());
            Some(from[..end].to_owned())
        };
        let rows = |text: &str| -> Vec<String> { text.split('{').skip(1).map(str::to_owned).collect() };
        let expected = rows(expected.trim_start_matches('{')).into_iter().filter_map(|row| {
            Some((after(&row, "tls_key")?, after(&row, "revision")?.parse().ok()?))
        });
        let writes = rows(writes).into_iter().filter_map(|row| {
            Some((after(&row, "tls_key")?, unbase64(&after(&row, "value")?)))
        });
        Self { expected: expected.collect(), writes: writes.collect() }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(BASE64[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn unbase64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| BASE64.iter().position(|digit| *digit == byte));
    let (mut out, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in digits {
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digits: Vec<u8> = bytes.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => out.push(b' '),
            _ => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Writes the entry of an endpoint now and with each heartbeat.
pub fn announce(store: &Store, id: &str, service: &str, zone: &str, address: SocketAddr) {
    let (store, key) = (store.clone(), format!("servers/{id}"));
    let (service, zone) = (service.to_owned(), zone.to_owned());
    thread::spawn(move || {
        for beat in 0u64.. {
            let mut entry = String::new();
            let _ = write!(
                entry,
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":26,\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":{beat}}}"
            );
            store.put(&key, entry.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    });
}

/// One daemon, started with the command of the deploy file and settings as its template makes them.
/// It is killed when this is dropped.
pub struct Daemon {
    child: Child,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

impl Daemon {
    pub fn is_ready(&self) -> bool {
        let asked = TcpStream::connect(self.ready).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            read_head(&mut BufReader::new(stream))
        });
        asked.ok().flatten().is_some_and(|answer| answer.first_line.contains(" 200"))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts one daemon in each zone, with the address at which it reaches the store.
pub fn start_daemons(program: &Path, folder: &Path, stores: &[SocketAddr], zones: &[&str]) -> Vec<Daemon> {
    const ADDRESSES: usize = 5;
    let taken: Vec<TcpListener> = (0..zones.len() * ADDRESSES)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a loopback address"))
        .collect();
    let all: Vec<SocketAddr> =
        taken.iter().map(|listener| listener.local_addr().expect("an address")).collect();
    drop(taken);
    let seeds: Vec<String> =
        all.chunks(ADDRESSES).take(3).map(|own| format!("\"{}\"", own[2])).collect();
    let distinct: BTreeSet<&str> = zones.iter().copied().collect();
    let regions: Vec<String> = distinct.iter().map(|zone| format!("\"{zone}\" = \"amman\"\n")).collect();
    let start = |(number, own): (usize, &[SocketAddr])| {
        let (zone, store) = (zones[number], stores[number]);
        let settings = format!(
            "node = \"edge-{zone}-{number}\"\nzone = \"{zone}\"\nseeds = [{}]\n\n[listen]\ncallers = \"{}\"\n\
             operators = \"{}\"\npeers = \"{}\"\n\n[platform]\naddress = \"{store}\"\n\n[limits]\n\
             memory_mb = 260\nlink_mbps = 1000.0\nmax_fds = 4100\n\n[stop]\nlinger_ms = 2500\n\n[site]\n\
             ready = \"{}\"\nchanges = \"{}\"\nfirst_start = true\ngrace_ms = 8000\nretry_ratio = 0.2\n\
             retry_slack = 136\nretry_window_s = 10\ndrain_ms = 2000\nconfig_apply_ms = 2000\n\n\
             [site.regions]\n{}",
            seeds.join(", "), own[0], own[1], own[2], own[3], own[4], regions.concat()
        );
        let path: PathBuf = folder.join(format!("settings-{number}.toml"));
        std::fs::write(&path, settings).expect("a settings file");
        let log = File::create(folder.join(format!("daemon-{number}.log"))).expect("a log file");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        Daemon { child, callers: own[0], ready: own[3] }
    };
    all.chunks(ADDRESSES).enumerate().map(start).collect()
}

/// Waits until all daemons are ready. Returns whether they are.
pub fn wait_until_ready(daemons: &[Daemon], patience: Duration) -> bool {
    let until = Instant::now() + patience;
    while Instant::now() < until {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Closes a connection in the ordinary way, after everything written.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// The link of one daemon to one endpoint. While it is cut, connections over it are refused.
pub struct Link {
    target: SocketAddr,
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback address");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let watched = is_cut.clone();
        thread::spawn(move || accept(Some(listener), address, target, &watched));
        Self { target, address, is_cut }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

fn accept(
    mut listener: Option<TcpListener>,
    address: SocketAddr,
    target: SocketAddr,
    is_cut: &AtomicBool,
) {
    let mut open: Vec<TcpStream> = Vec::new();
    loop {
        match (&listener, is_cut.load(Ordering::Relaxed)) {
            (Some(_), true) => {
                listener = None;
                for stream in open.drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
            (None, false) => listener = TcpListener::bind(address).ok(),
            (Some(accepting), false) => {
                let _ = accepting.set_nonblocking(true);
                while let Ok((near, _)) = accepting.accept() {
                    let _ = near.set_nonblocking(false);
                    let Ok(far) = TcpStream::connect(target) else { continue };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    open.extend([near.try_clone(), far.try_clone()].into_iter().flatten());
                    join(&near, &far);
                    join(&far, &near);
                }
            }
            (None, true) => {}
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Passes on what comes from one side to the other, until either ends.
fn join(from: &TcpStream, to: &TcpStream) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
    thread::spawn(move || {
        let mut buf = vec![0; 1 << 16];
        while let Ok(count) = from.read(&mut buf) {
            if count == 0 || to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
