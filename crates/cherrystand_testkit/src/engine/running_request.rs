//! A request that the engine stand-in is running.

use bytes::Bytes;
use cherrystand_core::Epoch;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use crate::engine::answer::Prompt;
use crate::engine::stand_in::{EngineBody, EngineStandIn, boxed};
use crate::http::json;

/// How many events of a streamed answer are buffered for a slow reader.
const BUFFERED_TOKENS: usize = 16;

/// A request that the engine is running; it counts as in flight until it is dropped.
pub(crate) struct RunningRequest {
    engine: EngineStandIn,
    epoch: Epoch,
    prompt: Prompt,
    completed: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.engine.record_end(self.completed);
    }
}

impl RunningRequest {
    /// Starts a request that the engine has admitted.
    pub(crate) fn new(engine: EngineStandIn, epoch: Epoch, prompt: Prompt) -> Self {
        Self { engine, epoch, prompt, completed: false }
    }

    /// Answers the request, in one body or as a stream.
    pub(crate) async fn answer(self) -> Response<EngineBody> {
        if self.prompt.stream { self.answer_stream() } else { self.answer_complete().await }
    }

    /// Waits for the time that token `number` takes.
    ///
    /// Fails if the replica has broken up or if `cut_after` ends the answer before this token.
    async fn generate_token(&self, number: u64) -> Result<(), std::io::Error> {
        let time = match number {
            0 => self.engine.prefill_time(&self.prompt.text),
            _ => self.engine.token_time(),
        };
        tokio::time::sleep(time).await;
        self.engine.wait_while_frozen().await;
        if self.engine.should_interrupt(number) || !self.engine.is_serving(self.epoch) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    async fn answer_complete(mut self) -> Response<EngineBody> {
        for number in 0..self.prompt.tokens {
            if let Err(err) = self.generate_token(number).await {
                return interrupted_answer(err);
            }
        }
        self.completed = true;
        boxed(json(StatusCode::OK, &self.prompt.response_body()))
    }

    fn answer_stream(self) -> Response<EngineBody> {
        let (tx, rx) = mpsc::channel(BUFFERED_TOKENS);
        tokio::task::spawn_local(self.send_events(tx));
        let mut answer = Response::new(receiver_body(rx));
        let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
        answer
    }

    async fn send_events(mut self, tx: mpsc::Sender<Result<Bytes, std::io::Error>>) {
        for number in 0..self.prompt.tokens {
            let generated = tokio::select! {
                generated = self.generate_token(number) => generated,
                () = tx.closed() => return,
            };
            let event = generated.map(|()| Bytes::from(self.prompt.event(number)));
            let failed = event.is_err();
            if tx.send(event).await.is_err() || failed {
                return;
            }
        }
        let end_event = Bytes::from_static(b"data: [DONE]\n\n");
        self.completed = tx.send(Ok(end_event)).await.is_ok();
    }
}

fn receiver_body(mut rx: mpsc::Receiver<Result<Bytes, std::io::Error>>) -> EngineBody {
    let frames = futures_util::stream::poll_fn(move |cx| {
        rx.poll_recv(cx).map(|item| item.map(|bytes| bytes.map(Frame::data)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Returns an answer whose body fails after the headers were sent.
fn interrupted_answer(err: std::io::Error) -> Response<EngineBody> {
    let (tx, rx) = mpsc::channel(1);
    // Cannot fail: the channel is empty and has a capacity of one.
    let _ = tx.try_send(Err(err));
    Response::new(receiver_body(rx))
}
