//! What the cases share: a metadata store, plain replicas, daemons and clients, as the users'
//! pages describe them. It needs nothing but the standard library.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut p = Parser { bytes: text.as_bytes(), at: 0 };
        p.value()
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }
    pub fn num(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }
    fn eat(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }
    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }
    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Map(map));
                }
                loop {
                    self.peek()?;
                    let key = self.text()?;
                    self.eat(b':')?;
                    map.insert(key, self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Map(map));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => self.text().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }
    fn text(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let next = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match next {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let sign = char::from_u32(code).unwrap_or('?');
                            out.extend(sign.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => out.push(SIGNS[(n >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line, or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| unescape(value)).next().unwrap_or_default()
    }
}

fn unescape(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with what was read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut part = [0; 16 << 10];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.rest.extend(&part[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            self.more()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            self.more()?;
        }
        Ok(self.rest.drain(..count).collect())
    }

    /// Reads one message with its body.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message { start: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            match line.split_once(':') {
                Some((name, value)) => {
                    message.headers.push((name.to_owned(), value.trim().to_owned()));
                }
                None => break,
            }
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or_default();
                let part = self.take(size)?;
                self.line()?;
                if size == 0 {
                    break;
                }
                message.body.extend(part);
            }
        } else if let Some(length) = message.header("content-length") {
            message.body = self.take(length.parse().unwrap_or_default())?;
        }
        Ok(message)
    }

    /// Whether the other side has closed the connection, as far as that has arrived.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend(body);
    out
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count).map(|_| listen()).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

pub fn accept_all(listener: TcpListener, serve: impl Fn(Conn) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Conn::new(stream)));
        }
    });
}

// ---------------------------------------------------------------- the store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Shelf {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key, revision, and the value unless it was removed.
    changes: Vec<(String, u64, Option<Item>)>,
    leases: u64,
}

impl Shelf {
    fn set(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        let revision = self.revision;
        let before = self.items.remove(key);
        let item = value.map(|value| Item {
            value,
            revision,
            created: before.map_or(revision, |before| before.created),
        });
        if let Some(item) = &item {
            self.items.insert(key.to_owned(), item.clone());
        }
        self.changes.push((key.to_owned(), revision, item));
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        r#"{{"tls_key":"{key}","value":"{}","revision":{},"created":{},"lease":0}}"#,
        item.value, item.revision, item.created
    )
}

/// The platform's metadata store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Shelf>, Condvar)>);

impl Store {
    pub fn put(&self, key: &str, text: &str) {
        lock(&self.0.0).set(key, Some(base64(text.as_bytes())));
        self.0.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        lock(&self.0.0).set(key, None);
        self.0.1.notify_all();
    }

    pub fn open(&self) -> SocketAddr {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        accept_all(listener, move |mut conn| {
            while let Ok(call) = conn.read() {
                let (status, body) = store.handle(&call);
                let headers = [("Content-Type", "application/json")];
                if conn.stream.write_all(&answer(status, &headers, body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        address
    }

    fn handle(&self, call: &Message) -> (&'static str, String) {
        thread::sleep(ms(2));
        match (call.method(), call.path()) {
            ("GET", "/kv-key") => {
                let shelf = lock(&self.0.0);
                let key = call.query("tls_key");
                match shelf.items.get(&key) {
                    Some(item) => ("200 OK", show(&key, item)),
                    None => ("404 Not Found", String::new()),
                }
            }
            ("GET", "/kv-range") => {
                let shelf = lock(&self.0.0);
                let (prefix, after) = (call.query("path_prefix"), call.query("since_rev"));
                let found = shelf.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let found = found.filter(|(key, _)| after.is_empty() || **key > after);
                let items: Vec<String> = found.map(|(key, item)| show(key, item)).collect();
                let items = items.join(",");
                ("200 OK", format!(r#"{{"items":[{items}],"has_more":false,"timestamp":{}}}"#, shelf.revision))
            }
            ("GET", "/kv-watch") => self.watch(call),
            ("POST", "/kv-txn") => self.write(call),
            ("POST", "/kv-lease") => {
                let mut shelf = lock(&self.0.0);
                shelf.leases += 1;
                ("200 OK", format!(r#"{{"lease":{},"ttl_ms":600000}}"#, shelf.leases))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => ("200 OK", "{}".to_owned()),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => ("200 OK", "{}".to_owned()),
            _ => ("404 Not Found", String::new()),
        }
    }

    fn watch(&self, call: &Message) -> (&'static str, String) {
        let prefix = call.query("path_prefix");
        let since: u64 = call.query("since_rev").parse().unwrap_or_default();
        let wait: u64 = call.query("wait_ms").parse().unwrap_or_default();
        let until = Instant::now() + ms(wait.min(30_000));
        let mut shelf = lock(&self.0.0);
        loop {
            let newer = shelf.changes.iter().filter(|(key, at, _)| *at > since && key.starts_with(&prefix));
            let events: Vec<String> = newer
                .map(|(key, at, item)| match item {
                    Some(item) => show(key, item),
                    None => format!(r#"{{"tls_key":"{key}","revision":{at},"is_gone":true}}"#),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return ("200 OK", format!(r#"{{"events":[{events}],"timestamp":{}}}"#, shelf.revision));
            }
            shelf = self.0.1.wait_timeout(shelf, left).unwrap_or_else(|err| err.into_inner()).0;
        }
    }

    fn write(&self, call: &Message) -> (&'static str, String) {
        let Some(wanted) = Json::parse(&String::from_utf8_lossy(&call.body)) else {
            return ("400 Bad Request", String::new());
        };
        let mut shelf = lock(&self.0.0);
        let rows = wanted.get("expect_rev").list();
        let is_met = |row: &Json| {
            let held = shelf.items.get(row.get("tls_key").str()).map_or(0, |item| item.revision);
            held == row.get("revision").num()
        };
        if !rows.iter().all(is_met) {
            let keys = rows.iter().map(|row| row.get("tls_key").str());
            let items = keys.filter_map(|key| Some(show(key, shelf.items.get(key)?)));
            let items: Vec<String> = items.collect();
            return ("412 Precondition Failed", format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        for row in wanted.get("set_keys").list() {
            shelf.set(row.get("tls_key").str(), Some(row.get("value").str().to_owned()));
        }
        for key in wanted.get("remove").list() {
            shelf.set(key.str(), None);
        }
        let revision = shelf.revision;
        drop(shelf);
        self.0.1.notify_all();
        ("200 OK", format!(r#"{{"revision":{revision}}}"#))
    }
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run; written to `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(Instant, String)>>);

impl Record {
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new((Instant::now(), String::new()))))
    }
    pub fn line(&self, text: &str) {
        let mut held = lock(&self.0);
        let at = held.0.elapsed().as_secs_f64();
        let _ = writeln!(held.1, "{at:9.4} {text}");
    }
    pub fn save(&self, path: &Path) {
        let _ = std::fs::write(path, &lock(&self.0).1);
    }
}

// ---------------------------------------------------------------- daemons

pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub changes: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// The folder of the repository; scripts start the program there.
fn program() -> PathBuf {
    PathBuf::from("target/release/cherrystandd")
}

impl Daemon {
    /// Starts some daemons in one availability zone.
    pub fn start_all(folder: &Path, count: usize, store: SocketAddr) -> Vec<Daemon> {
        let names: Vec<_> = (0..count).map(|number| (format!("edge-{number}"), "z1".to_owned())).collect();
        Self::start_named(folder, &names, store)
    }

    /// Starts daemons with the given names and zones. The settings are written as the template of the
    /// deploy file says.
    pub fn start_named(folder: &Path, names: &[(String, String)], store: SocketAddr) -> Vec<Daemon> {
        let ports = free_ports(names.len() * 5);
        let seed = ports[2];
        let zones: std::collections::BTreeSet<&String> = names.iter().map(|(_, zone)| zone).collect();
        let regions: String = zones.iter().map(|zone| format!("\"{zone}\" = \"r1\"\n")).collect();
        let mut all = Vec::new();
        for (own, (name, zone)) in ports.chunks(5).zip(names) {
            let settings = folder.join(format!("{name}.toml"));
            let text = format!(
                "node = \"{name}\"\nzone = \"{zone}\"\nseeds = [\"{seed}\"]\n\
                 [listen]\ncallers = \"{}\"\noperators = \"{}\"\npeers = \"{}\"\n\
                 [platform]\naddress = \"{store}\"\n\
                 [limits]\nmemory_mb = 260\nlink_mbps = 1000.0\nmax_fds = 4100\n\
                 [stop]\nlinger_ms = 2500\n\
                 [site]\nready = \"{}\"\nchanges = \"{}\"\nfirst_start = true\ngrace_ms = 8000\n\
                 retry_ratio = 0.2\nretry_slack = 136\nretry_window_s = 10\ndrain_ms = 2000\n\
                 config_apply_ms = 2000\n[site.regions]\n{regions}",
                own[0], own[1], own[2], own[3], own[4],
            );
            std::fs::write(&settings, text).expect("settings");
            let mut daemon = Daemon {
                name: name.clone(),
                callers: own[0],
                operators: own[1],
                peers: own[2],
                ready: own[3],
                changes: own[4],
                settings,
                child: None,
            };
            daemon.start();
            all.push(daemon);
        }
        all
    }

    /// Starts daemons that were killed; only the very first start of all is a first one.
    pub fn restart_all(daemons: &mut [Daemon]) {
        for daemon in daemons {
            let text = std::fs::read_to_string(&daemon.settings).expect("settings");
            let text = text.replace("first_start = true", "first_start = false");
            std::fs::write(&daemon.settings, text).expect("settings");
            daemon.start();
        }
    }

    pub fn start(&mut self) {
        let path = self.settings.with_extension("log");
        let log = std::fs::File::options().append(true).create(true).open(path).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(program())
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|err| cannot_run(&format!("the daemon does not start: {err}")));
        self.child = Some(child);
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/ready", &[], b"", ms(500)).is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

pub fn wait_until(what: &str, limit: Duration, mut is_met: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !is_met() {
        if Instant::now() > until {
            // No process is left behind: the caller's daemons are children that it ends.
            panic!("not reached in time: {what}");
        }
        thread::sleep(ms(50));
    }
}

/// Sends one request on a new connection.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, ms(1_000).min(timeout))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut conn = Conn::new(stream);
    conn.stream.write_all(&request(method, path, headers, body))?;
    conn.read()
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if method != "GET" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend(body);
    out
}

/// Removes the temporary folder of a case when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let folder = std::env::temp_dir().join(format!("cherrystand-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Self(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
