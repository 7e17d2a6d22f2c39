//! A stand-in for the users' metadata store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::http::{FullBody, empty, json as json_answer, query_number, read_json};
use crate::site::endpoint_links::EndpointLinks;

/// How often a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A change of a key, as watches report it.
#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    value: Option<String>,
}

/// A backup of the store.
#[derive(Clone, Debug)]
struct Backup {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
}

#[derive(Debug, Default)]
struct State {
    /// The length of the pages of a list, and the fault in them.
    pages: Option<(usize, PageFault)>,
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    changes: Vec<Change>,
    /// The change history up to this revision is lost.
    dropped_up_to: u64,
    /// Number of coming writes that are applied but not answered.
    answers_to_drop: u32,
    /// Items that are written right after a read finds them missing.
    after_miss: BTreeMap<String, String>,
    calls: u64,
    /// How long each answer takes to be sent.
    answer_time: Duration,
    /// How often the store was restored from a backup. Answers report it unless it is zero.
    era: u64,
    /// The backup that `restore` uses.
    backup: Option<Backup>,
}

/// A store that all nodes share. Each node can be given an address of its own, with a mode of its own.
#[derive(Clone, Default)]
pub struct MetadataStandIn {
    state: Rc<RefCell<State>>,
    /// The links whose addresses it shows instead of those of endpoints.
    links: EndpointLinks,
}

/// How the store treats calls on one address.
///
/// Fault schedules print the variants by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers them.
    #[default]
    Open,
    /// It refuses them as unavailable.
    Busy,
    /// It never answers.
    Silent,
}

/// A fault in the pages of a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PageFault {
    /// None.
    #[default]
    None,
    /// Each page repeats the first one.
    Repeats,
    /// A page that should have items, and be followed by others, is empty.
    Empty,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expect_rev: Vec<Expected>,
    #[serde(default)]
    set_keys: Vec<Setting>,
}

#[derive(Deserialize)]
struct Expected {
    tls_key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Setting {
    tls_key: String,
    value: String,
}

impl MetadataStandIn {
    /// Returns the same store as a daemon sees it that reaches endpoints through `links`.
    pub(crate) fn seen_through(&self, links: EndpointLinks) -> Self {
        Self { links, ..self.clone() }
    }

    /// Writes an item whose value is already encoded in base64.
    pub fn put(&self, key: &str, value: String) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value.clone()));
        state.changes.push(Change { key: key.to_owned(), revision, value: Some(value) });
    }

    /// Writes an item as another writer does.
    pub fn write_value(&self, key: &str, value: &[u8]) {
        self.put(key, STANDARD.encode(value));
    }

    /// Tells whether an item exists.
    pub fn contains(&self, key: &str) -> bool {
        self.state.borrow().items.contains_key(key)
    }

    /// Returns the decoded text of an item, if it exists.
    pub fn read(&self, key: &str) -> Option<String> {
        let state = self.state.borrow();
        let (_, value) = state.items.get(key)?;
        let bytes = STANDARD.decode(value).ok()?;
        String::from_utf8(bytes).ok()
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.borrow_mut();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push(Change { key: key.to_owned(), revision, value: None });
        }
    }

    /// Drops the change history, so that watches of earlier revisions must read everything again.
    pub fn drop_history(&self) {
        let mut state = self.state.borrow_mut();
        state.dropped_up_to = state.revision;
        state.changes.clear();
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.borrow();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Makes a backup of the current items and revision.
    pub fn back_up(&self) {
        let mut state = self.state.borrow_mut();
        state.backup = Some(Backup { revision: state.revision, items: state.items.clone() });
    }

    /// Restores the backup: later writes are lost, revisions are reused, and the era rises. Watches must start again.
    pub fn restore(&self) {
        let mut state = self.state.borrow_mut();
        let Some(Backup { revision, items }) = state.backup.clone() else { return };
        (state.revision, state.items) = (revision, items);
        state.changes.retain(|change| change.revision <= revision);
        state.era += 1;
    }

    /// Has the next writes applied but not answered.
    pub fn drop_next_answers(&self, count: u32) {
        self.state.borrow_mut().answers_to_drop = count;
    }

    /// Sets how long each answer takes to be sent from now on. What a call asks for is done as it arrives.
    pub fn set_answer_time(&self, time: Duration) {
        self.state.borrow_mut().answer_time = time;
    }

    /// Returns the number of calls received.
    pub fn call_count(&self) -> u64 {
        self.state.borrow().calls
    }

    /// Answers one call, and reports the era if the store was ever restored.
    pub async fn handle(self, mode: StoreMode, req: Request<Incoming>) -> Response<FullBody> {
        let state = self.state.clone();
        let mut answer = self.answer(mode, req).await;
        let (era, answer_time) = (state.borrow().era, state.borrow().answer_time);
        if era > 0 {
            answer.headers_mut().insert("store-era", era.into());
        }
        tokio::time::sleep(answer_time).await;
        answer
    }

    async fn answer(self, mode: StoreMode, req: Request<Incoming>) -> Response<FullBody> {
        self.state.borrow_mut().calls += 1;
        match mode {
            StoreMode::Open => {}
            StoreMode::Busy => return empty(StatusCode::SERVICE_UNAVAILABLE),
            StoreMode::Silent => std::future::pending().await,
        }
        let text = |name| parameter(&req, name);
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/kv-key") => self.key(&text("tls_key")),
            (&Method::GET, "/kv-range") => {
                let prefix = text("path_prefix");
                let listed = self.range(&prefix, &text("since_rev"));
                self.put_after_missed_read(&prefix);
                listed
            }
            (&Method::GET, "/kv-watch") => self.watch(&req).await,
            (&Method::POST, "/kv-txn") => match read_json(req).await {
                Some(transaction) => self.write(transaction).await,
                None => empty(StatusCode::BAD_REQUEST),
            },
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    /// Writes an item as soon as a read has found it missing.
    pub fn put_after_miss(&self, key: &str, value: String) {
        self.state.borrow_mut().after_miss.insert(key.to_owned(), value);
    }

    fn key(&self, key: &str) -> Response<FullBody> {
        let found = self.state.borrow().items.get(key).cloned();
        if let Some((revision, value)) = found {
            return json_answer(StatusCode::OK, &self.item(key, revision, &value));
        }
        self.put_after_missed_read(key);
        empty(StatusCode::NOT_FOUND)
    }

    /// Writes the items under a prefix that `put_after_miss` has registered.
    fn put_after_missed_read(&self, prefix: &str) {
        let mut pending = std::mem::take(&mut self.state.borrow_mut().after_miss);
        pending.retain(|key, value| {
            let is_missed = key.starts_with(prefix);
            if is_missed {
                self.put(key, std::mem::take(value));
            }
            !is_missed
        });
        self.state.borrow_mut().after_miss.extend(pending);
    }

    /// Splits lists into pages from now on, with a fault in all pages but the first.
    pub fn set_paging(&self, length: usize, fault: PageFault) {
        self.state.borrow_mut().pages = Some((length, fault));
    }

    fn range(&self, prefix: &str, after: &str) -> Response<FullBody> {
        let state = self.state.borrow();
        let (length, fault) = state.pages.unwrap_or((usize::MAX, PageFault::None));
        let (after, length) = match fault {
            PageFault::Repeats => ("", length),
            PageFault::Empty if !after.is_empty() => (after, 0),
            _ => (after, length),
        };
        let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let rest = found.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let mut items: Vec<Value> =
            rest.map(|(key, (revision, value))| self.item(key, *revision, value)).collect();
        let has_more = items.len() > length;
        items.truncate(length);
        let page = json!({"items": items, "has_more": has_more, "timestamp": state.revision});
        json_answer(StatusCode::OK, &page)
    }

    async fn watch(&self, req: &Request<Incoming>) -> Response<FullBody> {
        let prefix = parameter(req, "path_prefix");
        let since = query_number(req, "since_rev").unwrap_or_default();
        let wait = query_number(req, "wait_ms").unwrap_or_default();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait);
        let era = self.state.borrow().era;
        loop {
            {
                let state = self.state.borrow();
                if since < state.dropped_up_to || since > state.revision || state.era != era {
                    return empty(StatusCode::GONE);
                }
                let newer = state.changes.iter().filter(|change| change.revision > since);
                let newer = newer.filter(|change| change.key.starts_with(&prefix));
                let events: Vec<Value> = newer.map(|change| self.event(change)).collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let page = json!({"events": events, "timestamp": state.revision});
                    return json_answer(StatusCode::OK, &page);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn write(&self, transaction: Transaction) -> Response<FullBody> {
        let revision_of = |key: &String| {
            let state = self.state.borrow();
            state.items.get(key).map_or(0, |(revision, _)| *revision)
        };
        let mut conditions = transaction.expect_rev.iter();
        if conditions.any(|row| revision_of(&row.tls_key) != row.revision) {
            let items: Vec<Value> = transaction
                .expect_rev
                .iter()
                .map(|row| self.item(&row.tls_key, revision_of(&row.tls_key), ""))
                .collect();
            return json_answer(StatusCode::PRECONDITION_FAILED, &json!({"items": items}));
        }
        for setting in transaction.set_keys {
            self.put(&setting.tls_key, setting.value);
        }
        let drop_answer = {
            let mut state = self.state.borrow_mut();
            let drop_answer = state.answers_to_drop > 0;
            state.answers_to_drop = state.answers_to_drop.saturating_sub(1);
            drop_answer
        };
        if drop_answer {
            std::future::pending::<()>().await;
        }
        json_answer(StatusCode::OK, &json!({"revision": self.state.borrow().revision}))
    }

    fn item(&self, key: &str, revision: u64, value: &str) -> Value {
        let value = self.links.show(value);
        json!({"tls_key": key, "value": value, "revision": revision, "created": revision, "lease": 0})
    }

    fn event(&self, change: &Change) -> Value {
        match &change.value {
            Some(value) => self.item(&change.key, change.revision, value),
            None => json!({"tls_key": change.key, "revision": change.revision, "is_gone": true}),
        }
    }
}

fn parameter(req: &Request<Incoming>, name: &str) -> String {
    let value = crate::http::query(req, name).unwrap_or_default();
    value.replace("%2F", "/")
}
