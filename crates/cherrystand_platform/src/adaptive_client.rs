//! A client whose waits follow from how long its server takes to answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{Millis, StoreAnswerTime, WatchTime};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use futures_util::stream::FuturesUnordered;
use hyper::{HeaderMap, Method};

use crate::watch_pools::WatchPools;
use crate::{
    Answer, AnswerPool, AnswerProgress, BoxCall, CallError, CallLimits, CallPool, HttpPool,
    NoNames, call_while_arriving, since_boot,
};

/// How long connecting may take. A server that is slow to answer still accepts connections soon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a read stays open without any part of its answer, beyond what it may wait for a change.
const MAX_SILENCE: Duration = Duration::from_secs(20);

/// How many times the patience for an answer a read may take that is sent again when it is late.
const PATIENCE_OF_A_READ: u32 = 3;

/// The pause before a read that was repeated is repeated again, beyond the time after which an answer is
/// late; it doubles each time.
const FIRST_REPEAT_PAUSE: Duration = Duration::from_millis(800);

/// From this time without a further part, an answer that has begun counts as late.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// An answer to a watch.
pub struct WatchAnswer {
    /// The answer.
    pub answer: Answer,
    /// How long it took.
    pub time: WatchTime,
}

/// Calls one server, and keeps reads open whose answers are late.
///
/// A connection may stall for good while new ones work, and a server may just be slow. Both look the
/// same at first, so a late read is sent once more beside the first one, which may still win.
///
/// The server's answers name nothing, so each call has a connection to itself. Only watches, which come
/// one after the other, share connections with watches of the same.
#[derive(Clone)]
pub struct AdaptiveClient {
    address: SocketAddr,
    calls: AnswerPool<NoNames>,
    watches: WatchPools,
    answer_time: Rc<Cell<StoreAnswerTime>>,
}

impl AdaptiveClient {
    /// Creates a client of the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            calls: AnswerPool::default(),
            watches: WatchPools::default(),
            answer_time: Rc::default(),
        }
    }

    /// Returns how long the server took to answer of late.
    pub fn answer_time(&self) -> StoreAnswerTime {
        self.answer_time.get()
    }

    /// Closes idle connections, so that the next watches open new ones.
    pub fn close_idle_connections(&self) {
        self.watches.close_idle();
    }

    /// Makes a call once, and gives it up after a few usual answer times.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`]. Only a failure to connect guarantees that the call had no effect.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, CallError> {
        let timeout = Duration::from_millis(self.answer_time.get().timeout().0);
        let sent_at = since_boot();
        let limits = limits(timeout, timeout);
        let progress = AnswerProgress::default();
        let answer = self.attempt(&self.calls, method, path, body, limits, &progress).await;
        self.record(&answer, sent_at);
        answer
    }

    /// Reads what the caller has to wait for, and gives up in the end. The read is sent again
    /// over another connection each time it is late, and the first answer is used.
    ///
    /// # Errors
    ///
    /// Returns the [`CallError`] of the read that failed last, or [`CallError::TimedOut`].
    pub async fn read(&self, path: &str) -> Result<Answer, CallError> {
        let patience = Duration::from_millis(self.answer_time.get().patience().0);
        self.read_within(path, patience * PATIENCE_OF_A_READ).await
    }

    /// Reads as [`Self::read`] does, but as long as an answer may still come.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::read`].
    pub async fn read_patiently(&self, path: &str) -> Result<Answer, CallError> {
        self.read_within(path, MAX_SILENCE).await
    }

    async fn read_within(&self, path: &str, limit: Duration) -> Result<Answer, CallError> {
        let sent_at = since_boot();
        let answer = tokio::time::timeout(limit, self.read_repeatedly(path)).await;
        let answer = answer.unwrap_or(Err(CallError::TimedOut(limit)));
        self.record(&answer, sent_at);
        answer
    }

    async fn read_repeatedly(&self, path: &str) -> Result<Answer, CallError> {
        let mut open = FuturesUnordered::new();
        let mut pause = FIRST_REPEAT_PAUSE;
        let mut progress = Rc::new(AnswerProgress::default());
        open.push(self.get_with(path, progress.clone()));
        let mut late = Box::pin(self.answer_is_late(progress.clone(), Duration::ZERO));
        loop {
            let answer = match select(open.next(), &mut late).await {
                Either::Left((answer, _)) => answer,
                Either::Right(((), _)) => {
                    progress = Rc::new(AnswerProgress::default());
                    open.push(self.get_with(path, progress.clone()));
                    late = Box::pin(self.answer_is_late(progress.clone(), pause));
                    pause *= 2;
                    continue;
                }
            };
            match answer {
                Some(Err(_)) if !open.is_empty() => {}
                Some(answer) => return answer,
                None => return Err(CallError::TimedOut(MAX_SILENCE)),
            }
        }
    }

    async fn get_with(
        &self,
        path: &str,
        progress: Rc<AnswerProgress>,
    ) -> Result<Answer, CallError> {
        self.get(&self.calls, path, Duration::ZERO, &progress).await
    }

    /// Reads what has changed below `prefix`, where the server may wait for a change. If the answer is late, a second read is sent to
    /// `at_once_path`, which waits for nothing; there is none if the first one doesn't wait either.
    /// Both stay open as long as an answer may still come. What the answer shows of the server is to be
    /// recorded with [`Self::record_watch`] once it is known whether it has changes.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::read`].
    pub async fn watch(
        &self,
        prefix: &str,
        path: &str,
        at_once_path: &str,
        wait: Duration,
    ) -> Result<WatchAnswer, CallError> {
        let sent_at = since_boot();
        let pool = self.watches.of(prefix);
        let answer = match wait.is_zero() {
            true => self.get(&pool, path, wait, &AnswerProgress::default()).await?,
            false => self.read_hedged(&pool, path, at_once_path, wait).await?,
        };
        let took = to_millis(since_boot().saturating_sub(sent_at));
        Ok(WatchAnswer { answer, time: WatchTime { took, wait: to_millis(wait) } })
    }

    /// Records how long a watch took that was answered with changes or without.
    pub fn record_watch(&self, time: WatchTime, has_changes: bool) {
        self.update(|answer_time| answer_time.record_watch(time, has_changes));
    }

    async fn read_hedged(
        &self,
        pool: &HttpPool,
        first_path: &str,
        second_path: &str,
        wait: Duration,
    ) -> Result<Answer, CallError> {
        let progress = Rc::new(AnswerProgress::default());
        let first = pin!(self.get(pool, first_path, wait, &progress));
        let late = pin!(self.answer_is_late(progress.clone(), wait));
        let mut first = match select(first, late).await {
            Either::Left((answer, _)) => return answer,
            Either::Right(((), first)) => first,
        };
        // Idle connections may have stalled together with that one.
        pool.close_idle();
        let progress = AnswerProgress::default();
        let mut second = pin!(self.get(pool, second_path, Duration::ZERO, &progress));
        match select(&mut first, &mut second).await {
            Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
            Either::Left((Err(_), _)) => second.await,
            Either::Right((Err(_), _)) => first.await,
        }
    }

    async fn get(
        &self,
        pool: &impl CallPool,
        path: &str,
        wait: Duration,
        progress: &AnswerProgress,
    ) -> Result<Answer, CallError> {
        let limits = limits(wait + MAX_SILENCE, MAX_SILENCE);
        self.attempt(pool, Method::GET, path, Bytes::new(), limits, progress).await
    }

    /// Waits until an answer is late: it hasn't begun, or no further part of it arrives.
    async fn answer_is_late(&self, progress: Rc<AnswerProgress>, wait: Duration) {
        let delay = Duration::from_millis(self.answer_time.get().hedge_delay().0);
        tokio::time::sleep(wait + delay).await;
        while let Some(idle) = progress.idle_for().filter(|idle| *idle < STALLED_AFTER) {
            tokio::time::sleep(STALLED_AFTER - idle).await;
        }
    }

    async fn attempt(
        &self,
        pool: &impl CallPool,
        method: Method,
        path: &str,
        body: Bytes,
        limits: CallLimits,
        progress: &AnswerProgress,
    ) -> Result<Answer, CallError> {
        let request = BoxCall { method, path: path.to_owned(), headers: HeaderMap::new(), body };
        call_while_arriving(pool, self.address, request, limits, progress).await
    }

    fn record(&self, answer: &Result<Answer, CallError>, sent_at: Duration) {
        match answer {
            Ok(_) => self.record_answer(since_boot().saturating_sub(sent_at)),
            Err(CallError::TimedOut(_)) => self.update(StoreAnswerTime::record_given_up),
            Err(_) => {}
        }
    }

    fn record_answer(&self, took: Duration) {
        self.update(|answer_time| answer_time.record_answer(to_millis(took)));
    }

    fn update(&self, change: impl FnOnce(&mut StoreAnswerTime)) {
        let mut answer_time = self.answer_time.get();
        change(&mut answer_time);
        self.answer_time.set(answer_time);
    }
}

fn to_millis(time: Duration) -> Millis {
    Millis(time.as_millis() as u64)
}

fn limits(first_part: Duration, next_part: Duration) -> CallLimits {
    CallLimits { connect: CONNECT_TIMEOUT, first_part, next_part }
}
