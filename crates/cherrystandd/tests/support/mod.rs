//! Starts processes of a cluster and sends requests to them.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]
#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub(crate) mod caller_requests;
pub(crate) mod flooding_endpoint;
pub(crate) mod raw_caller;
pub(crate) mod raw_requests;
pub(crate) mod site;
pub(crate) mod wire_answer;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cherrystand_platform::{HttpPool, PooledAnswer, SendError};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde_json::{Value, json};

/// How long tests wait for an expected condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A process that is killed at the end of the test.
pub(crate) struct Process {
    child: Child,
    pub(crate) address: SocketAddr,
}

impl Process {
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut kill = spawn(Command::new("kill").args([&format!("-{name}"), &id]));
        assert!(kill.wait().expect("kill").success());
    }

    /// Returns the peak memory use of the process, in KB.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process's status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kb.expect("the peak memory use")
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a status").is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One daemon and its three addresses.
pub(crate) struct Daemon {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// The number of processes of each kind in a cluster, and of replicas in its default configuration.
#[derive(Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) daemons: usize,
    pub(crate) boxes: usize,
    pub(crate) services: usize,
    pub(crate) replicas: u32,
}

impl Default for Setup {
    fn default() -> Self {
        Self { daemons: 3, boxes: 5, services: 2, replicas: 2 }
    }
}

/// The processes of one test.
pub(crate) struct Cluster {
    pub(crate) platform: Process,
    pub(crate) boxes: Vec<Process>,
    pub(crate) services: Vec<Process>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) pool: HttpPool,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the outcome header, and the reason in the error body.
    pub(crate) fn outcome_and_reason(&self) -> (String, String) {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let reason = value["error"]["reason"].as_str().unwrap_or_default().to_owned();
        (self.header("cherrystand-outcome").to_owned(), reason)
    }
}

/// Runs a test on one thread.
pub(crate) fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// Runs a test on one thread and with virtual time, which fits only tests that start no processes.
pub(crate) fn run_on_virtual_time<F: Future>(test: F) -> F::Output {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

fn program(name: &str) -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cherrystandd"));
    let path = daemon.with_file_name(name);
    assert!(path.exists(), "{} is missing: run `cargo build --workspace` first", path.display());
    path
}

fn spawn(command: &mut Command) -> Child {
    cherrystand_testkit::spawn(command).expect("a process")
}

/// Returns addresses that are not in use and that no other test of this process has received.
pub(crate) fn free_addresses(count: usize) -> Vec<SocketAddr> {
    cherrystand_testkit::free_addresses(count).expect("free addresses")
}

/// Returns the bytes exchanged with peers according to a page of metrics, summed over the series that
/// contain `label`.
pub(crate) fn peer_bytes(metrics: &str, label: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with("cherrystand_peer_bytes_total{"));
    let lines = lines.filter(|line| line.contains(label));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn start(name: &str, args: &[&str], address: SocketAddr, log: &Path) -> Process {
    let log = std::fs::File::create(log).expect("a log file");
    let mut command = Command::new(program(name));
    command.args(args).stdout(Stdio::null()).stderr(log);
    let child = spawn(&mut command);
    Process { child, address }
}

impl Cluster {
    /// Starts all processes and waits until all daemons are ready.
    pub(crate) async fn start(setup: Setup) -> Self {
        let addresses = free_addresses(1 + setup.boxes + setup.services + 3 * setup.daemons);
        let (platform, rest) = addresses.split_first().expect("an address");
        let (boxes, rest) = rest.split_at(setup.boxes);
        let (services, daemons) = rest.split_at(setup.services);
        let dir = std::env::temp_dir().join(format!("cherrystand-test-{}", platform.port()));
        std::fs::create_dir_all(&dir).expect("a directory");
        let cluster = Self {
            platform: start_platform(&dir, *platform, boxes, setup.daemons),
            boxes: boxes.iter().map(|at| start_box(&dir, *at, *platform)).collect(),
            services: services.iter().map(|at| start_service(&dir, *at)).collect(),
            daemons: daemons
                .chunks(3)
                .enumerate()
                .map(|(number, own)| start_daemon(&dir, number, own, daemons, *platform))
                .collect(),
            pool: HttpPool::default(),
            dir,
        };
        for daemon in &cluster.daemons {
            cluster.wait_until("a daemon is ready", || cluster.is_ready(daemon.callers)).await;
        }
        cluster
    }

    /// Starts all processes, applies the default configuration and waits until all daemons route to all
    /// replicas.
    pub(crate) async fn serving(setup: Setup) -> Self {
        let cluster = Self::start(setup).await;
        cluster.apply_config(&cluster.default_config(setup.replicas, "1", "/consent")).await;
        for daemon in &cluster.daemons {
            let all = || async {
                cluster.serving_replicas(daemon.operators).await == setup.replicas as u64
            };
            cluster.wait_until("all replicas serve", all).await;
        }
        cluster
    }

    /// Returns the configuration that most tests use.
    pub(crate) fn default_config(&self, replicas: u32, version: &str, prefix: &str) -> String {
        let endpoints: Vec<String> = self
            .services
            .iter()
            .map(|service| format!("{{ zone = \"a\", address = \"{}\" }}", service.address))
            .collect();
        format!(
            "workspace = \"w\"\n[[model]]\nname = \"g\"\nmodel = \"m\"\nversion = \"{version}\"\n\
             replicas = {replicas}\nboxes_per_replica = 2\n[[service]]\nname = \"s\"\n\
             path_prefix = \"{prefix}\"\nclass = \"consent\"\nendpoints = [{}]\n",
            endpoints.join(", ")
        )
    }

    /// Runs the operators' command `cherrystand` against the first daemon.
    pub(crate) fn cli(&self, args: &[&str]) -> Output {
        self.cli_at(self.daemons[0].operators, args)
    }

    /// Runs the operators' command `cherrystand` against a daemon.
    pub(crate) fn cli_at(&self, at: SocketAddr, args: &[&str]) -> Output {
        let at = at.to_string();
        let mut arguments = vec!["--at", &at];
        arguments.extend(args);
        let mut command = Command::new(program("cherrystand"));
        command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
        spawn(&mut command).wait_with_output().expect("the command")
    }

    /// Writes a file for the command to read.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }

    /// Creates a plan and returns its id.
    pub(crate) fn plan(&self, config: &str) -> String {
        let file = self.write_file("config.toml", config);
        let output = self.cli(&["--json", "plan", &file]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let plan: Value = serde_json::from_slice(&output.stdout).expect("a plan");
        plan["id"].as_str().expect("an id").to_owned()
    }

    /// Plans and confirms a configuration.
    pub(crate) async fn apply_config(&self, config: &str) {
        let plan = self.plan(config);
        let confirmed = || async { self.cli(&["confirm", &plan]).status.success() };
        self.wait_until("the plan is confirmed", confirmed).await;
    }

    /// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
    pub(crate) async fn wait_until<F, B>(&self, what: &str, mut condition: F)
    where
        F: FnMut() -> B,
        B: Future<Output = bool>,
    {
        let at = format!("{what}; see {:?}", self.dir);
        wait_until(&at, &mut condition).await;
    }

    pub(crate) async fn is_ready(&self, daemon: SocketAddr) -> bool {
        let answer = self.send(daemon, Method::GET, "/readyz", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Returns a daemon's status page for operators, or null if it does not answer.
    async fn status(&self, operators: SocketAddr) -> Value {
        let answer = self.send(operators, Method::GET, "/operator/status", &[], "").await;
        let answer = answer.ok().and_then(|answer| serde_json::from_slice(&answer.body).ok());
        answer.unwrap_or_default()
    }

    /// Returns how many replicas a daemon routes to.
    pub(crate) async fn serving_replicas(&self, operators: SocketAddr) -> u64 {
        let status = self.status(operators).await;
        let replicas = status["replicas"].as_array().into_iter().flatten();
        replicas.filter(|replica| replica["serving"] == json!(true)).count() as u64
    }

    /// Returns from how many daemons the given one has heard recently, itself included.
    pub(crate) async fn reachable_daemons(&self, daemon: usize) -> u64 {
        let status = self.status(self.daemons[daemon].operators).await;
        status["node"]["heard"].as_u64().unwrap_or(0)
    }

    /// Sends a request and reads the complete answer.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, String> {
        let answer = self.open(to, method, path, headers, body).await;
        let PooledAnswer { head, body } = answer.map_err(|err| err.to_string())?;
        let body = body.collect().await.map_err(|err| err.to_string())?.to_bytes();
        Ok(Answer { status: head.status(), headers: head.headers().clone(), body })
    }

    /// Sends a request and returns when the headers of its answer arrive.
    pub(crate) async fn open(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<PooledAnswer, SendError> {
        let mut req = Request::builder().method(method).uri(path).header("host", "test");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body.to_owned()))).expect("a request");
        self.pool.send(to, req, Duration::from_secs(1)).await
    }

    /// Sends a model request to a daemon.
    pub(crate) async fn send_model_request(
        &self,
        daemon: usize,
        text: &str,
        tokens: u64,
        stream: bool,
    ) -> Result<PooledAnswer, SendError> {
        let body = model_body(text, tokens, stream);
        let to = self.daemons[daemon].callers;
        self.open(to, Method::POST, "/v1/chat/completions", &[], &body).await
    }

    /// Changes how a simulated box, service or platform behaves.
    pub(crate) async fn set(&self, stand_in: SocketAddr, behaviour: Value) {
        let set =
            self.send(stand_in, Method::POST, "/control/set", &[], &behaviour.to_string()).await;
        assert_eq!(set.expect("set").status, StatusCode::OK);
    }

    /// Returns how often the services executed each call, by idempotency key or request id.
    pub(crate) async fn service_executions(&self) -> std::collections::BTreeMap<String, u32> {
        let mut all = std::collections::BTreeMap::new();
        for service in &self.services {
            let path = "/control/executions";
            let answer = self.send(service.address, Method::GET, path, &[], "").await;
            let answer: std::collections::BTreeMap<String, u32> =
                serde_json::from_slice(&answer.expect("counts").body).expect("counts");
            for (key, count) in answer {
                *all.entry(key).or_default() += count;
            }
        }
        all
    }
}

/// Returns the body of a model request.
pub(crate) fn model_body(text: &str, tokens: u64, stream: bool) -> String {
    json!({
        "model": "m", "max_tokens": tokens, "stream": stream,
        "messages": [{"role": "user", "content": text}],
    })
    .to_string()
}

fn start_platform(dir: &Path, at: SocketAddr, boxes: &[SocketAddr], daemons: usize) -> Process {
    let boxes: Vec<Value> = boxes
        .iter()
        .enumerate()
        .map(|(number, address)| {
            json!({"id": format!("b{number}"), "domain": "d", "zone": "a", "address": address})
        })
        .collect();
    let nodes: Vec<String> = (0..daemons).map(|number| format!("n{number}")).collect();
    let list = dir.join("inventory.json");
    let text = json!({"version": 1, "boxes": boxes, "nodes": nodes}).to_string();
    std::fs::write(&list, text).expect("a file");
    let (at_text, list) = (at.to_string(), list.display().to_string());
    let args = ["platform", "--listen", &at_text, "--inventory", &list];
    start("cherrystand_standin", &args, at, &dir.join("platform.log"))
}

fn start_box(dir: &Path, at: SocketAddr, platform: SocketAddr) -> Process {
    let (at_text, platform) = (at.to_string(), platform.to_string());
    let args = ["engine", "--listen", &at_text, "--platform", &platform];
    start("cherrystand_standin", &args, at, &dir.join(format!("box-{}.log", at.port())))
}

fn start_service(dir: &Path, at: SocketAddr) -> Process {
    let at_text = at.to_string();
    let args = ["service", "--listen", &at_text];
    start("cherrystand_standin", &args, at, &dir.join(format!("service-{}.log", at.port())))
}

fn start_daemon(
    dir: &Path,
    number: usize,
    own: &[SocketAddr],
    all: &[SocketAddr],
    platform: SocketAddr,
) -> Daemon {
    let seeds: Vec<String> = all.iter().skip(2).step_by(3).map(|at| format!("\"{at}\"")).collect();
    let zone = if number.is_multiple_of(2) { "a" } else { "b" };
    let text = format!(
        "node = \"n{number}\"\nzone = \"{zone}\"\nseeds = [{}]\n\
         [listen]\ncallers = \"{}\"\noperators = \"{}\"\npeers = \"{}\"\n\
         [platform]\naddress = \"{platform}\"\n\
         [repair]\nprobe_ms = 500\nload_seconds = 1.0\nrejoin_seconds = 0.5\n\
         restart_seconds = 20.0\nrestart_share = 0.5\n[stop]\nlinger_ms = 500\n",
        seeds.join(", "),
        own[0],
        own[1],
        own[2],
    );
    let settings = dir.join(format!("n{number}.toml"));
    std::fs::write(&settings, text).expect("a file");
    let settings = settings.display().to_string();
    let log = dir.join(format!("n{number}.log"));
    Daemon {
        process: start("cherrystandd", &["--settings", &settings], own[0], &log),
        callers: own[0],
        operators: own[1],
        peers: own[2],
    }
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until<F, B>(what: &str, mut condition: F)
where
    F: FnMut() -> B,
    B: Future<Output = bool>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts a program with the given settings in a directory of its own, which also gets its log.
pub(crate) fn start_with_settings(name: &str, settings: &str, address: SocketAddr) -> Process {
    let dir = std::env::temp_dir().join(format!("cherrystand-test-{}", address.port()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let file = dir.join("settings.toml");
    std::fs::write(&file, settings).expect("a file");
    let file = file.display().to_string();
    start(name, &["--settings", &file], address, &dir.join("log"))
}

/// Sends a request over a new connection and reads the complete answer. Returns status 502 if the
/// answer cannot be read.
pub(crate) async fn call_at(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut req = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::from(body.to_owned()))).expect("a request");
    let none =
        Answer { status: StatusCode::BAD_GATEWAY, headers: HeaderMap::new(), body: Bytes::new() };
    let Ok(answer) = HttpPool::default().send(to, req, Duration::from_secs(1)).await else {
        return none;
    };
    let PooledAnswer { head, body } = answer;
    let (status, headers) = (head.status(), head.headers().clone());
    match body.collect().await {
        Ok(body) => Answer { status, headers, body: body.to_bytes() },
        Err(_) => none,
    }
}

/// Returns the value of one series in the metrics that a daemon reports, named without the product's prefix.
pub(crate) fn metric_value(metrics: &str, series: &str) -> u64 {
    let name = format!("cherrystand_{series} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
    line.and_then(|value| value.parse().ok()).expect("the metric")
}
