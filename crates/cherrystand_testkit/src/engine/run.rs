//! One request being run by the engine stand-in.

use bytes::Bytes;
use cherrystand_core::Epoch;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use crate::engine::answer::Prompt;
use crate::engine::stand_in::{EngineBody, EngineStandIn, boxed};
use crate::http::json;

/// How many tokens of an answer may wait for a slow reader.
const BUFFERED_TOKENS: usize = 16;

/// One request being run; counted as in flight for as long as it lives.
pub(crate) struct Run {
    engine: EngineStandIn,
    epoch: Epoch,
    prompt: Prompt,
    done: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.engine.count_end(self.done);
    }
}

impl Run {
    /// Begins a request that the engine has admitted.
    pub(crate) fn new(engine: EngineStandIn, epoch: Epoch, prompt: Prompt) -> Self {
        Self { engine, epoch, prompt, done: false }
    }

    /// Answers it, whole or as a stream.
    pub(crate) async fn answer(self) -> Response<EngineBody> {
        if self.prompt.stream { self.stream() } else { self.whole().await }
    }

    /// Makes the tokens one by one; fails when the replica comes apart or is told to cut.
    async fn make(&self, number: u64) -> Result<(), std::io::Error> {
        let time = match number {
            0 => self.engine.prefill(&self.prompt.text),
            _ => self.engine.token_time(),
        };
        tokio::time::sleep(time).await;
        self.engine.thaw().await;
        if self.engine.is_told_to_cut(number) || !self.engine.serves(self.epoch) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    async fn whole(mut self) -> Response<EngineBody> {
        for number in 0..self.prompt.tokens {
            if let Err(err) = self.make(number).await {
                return cut_answer(err);
            }
        }
        self.done = true;
        boxed(json(StatusCode::OK, &self.prompt.whole_body()))
    }

    fn stream(self) -> Response<EngineBody> {
        let (tx, rx) = mpsc::channel(BUFFERED_TOKENS);
        tokio::task::spawn_local(self.feed(tx));
        let mut answer = Response::new(receiver_body(rx));
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        answer
    }

    async fn feed(mut self, tx: mpsc::Sender<Result<Bytes, std::io::Error>>) {
        for number in 0..self.prompt.tokens {
            let made = tokio::select! {
                made = self.make(number) => made,
                () = tx.closed() => return,
            };
            let event = made.map(|()| Bytes::from(self.prompt.event(number)));
            let failed = event.is_err();
            if tx.send(event).await.is_err() || failed {
                return;
            }
        }
        let last = Bytes::from_static(b"data: [DONE]\n\n");
        self.done = tx.send(Ok(last)).await.is_ok();
    }
}

fn receiver_body(mut rx: mpsc::Receiver<Result<Bytes, std::io::Error>>) -> EngineBody {
    let frames = futures_util::stream::poll_fn(move |cx| {
        rx.poll_recv(cx).map(|item| item.map(|bytes| bytes.map(Frame::data)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// An answer that breaks off after its head.
fn cut_answer(err: std::io::Error) -> Response<EngineBody> {
    let (tx, rx) = mpsc::channel(1);
    // The channel has room for this one item.
    let _ = tx.try_send(Err(err));
    Response::new(receiver_body(rx))
}
