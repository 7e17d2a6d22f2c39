//! Callers that look at every byte of an answer and use no HTTP library.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::site::Node;

/// The body of each request.
pub(crate) const REQUEST_BODY: &str = "body";

/// What a caller read on its connection until it was closed.
#[derive(Debug)]
pub(crate) struct RawAnswer {
    /// The status, or nothing if none came.
    pub(crate) status: String,
    /// Whether nothing shows that the answer isn't whole.
    pub(crate) looks_whole: bool,
    pub(crate) text: String,
}

impl RawAnswer {
    /// Reads an answer until the connection is closed.
    pub(crate) async fn read(stream: &mut TcpStream) -> Self {
        let mut read = Vec::new();
        let ended = stream.read_to_end(&mut read).await;
        let text = String::from_utf8_lossy(&read).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let head = head.to_lowercase();
        let length = head.split_once("content-length: ").map(|(_, rest)| rest);
        let length = length.and_then(|rest| rest.lines().next()?.parse::<usize>().ok());
        let looks_whole = match length {
            Some(length) => body.len() >= length,
            None if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
            // A reset is no end of a body that ends with its connection.
            None => ended.is_ok() && !head.is_empty(),
        };
        let status = head.split(' ').nth(1).unwrap_or_default().to_owned();
        Self { status, looks_whole, text }
    }

    /// Returns whether a field of its head begins so, in lower case.
    pub(crate) fn has_field(&self, field: &str) -> bool {
        let head = self.text.split("\r\n\r\n").next().unwrap_or_default().to_lowercase();
        head.lines().any(|line| line.starts_with(field))
    }
}

/// Returns the head of a request.
pub(crate) fn request_head(path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer k1\r\n\
         Connection: close\r\nCherrystand-Request-Id: {id}\r\n\
         Cherrystand-Deadline-Ms: {deadline_ms}\r\nCherrystand-Model: m\r\n\
         Cherrystand-Token-Usage: 100,80\r\nContent-Length: {}\r\n\r\n",
        REQUEST_BODY.len()
    )
}

/// Sends a request and reads every byte that comes back.
pub(crate) async fn call_raw(node: &Node, path: &str, id: &str) -> RawAnswer {
    const DEADLINE_MS: u64 = 2_000;
    let mut stream = TcpStream::connect(node.callers).await.expect("a connection");
    let request = request_head(path, id, DEADLINE_MS) + REQUEST_BODY;
    stream.write_all(request.as_bytes()).await.expect("a connection that is read");
    RawAnswer::read(&mut stream).await
}
