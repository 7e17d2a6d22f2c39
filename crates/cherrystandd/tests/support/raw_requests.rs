//! Requests as endpoints that use no HTTP library read them.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Reads a request and returns its id.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    const BODY_BYTES: usize = 4;
    let mut read = Vec::new();
    loop {
        let mut buf = [0; 2_048];
        let count = stream.read(&mut buf).await.ok().filter(|count| *count > 0)?;
        read.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&read).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        if body.len() >= BODY_BYTES {
            let mut lines = head.lines();
            return lines
                .find_map(|line| Some(line.strip_prefix("cherrystand-request-id: ")?.into()));
        }
    }
}
