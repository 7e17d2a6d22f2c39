//! What the bytes of a connection say of an answer, read without an HTTP library.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::flooding_endpoint::ConnectionEnd;

/// An answer that is complete by its own framing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WholeAnswer {
    pub(crate) status: String,
    pub(crate) body: Vec<u8>,
}

impl WholeAnswer {
    /// Reads all that comes on a connection, and returns the answer if nothing shows that it isn't whole.
    pub(crate) async fn receive(stream: &mut TcpStream) -> Option<Self> {
        let mut read = Vec::new();
        let end = match stream.read_to_end(&mut read).await {
            Ok(_) => ConnectionEnd::Close,
            Err(_) => ConnectionEnd::Reset,
        };
        Self::read(&read, end)
    }

    /// Reads an answer from all bytes of a connection that ended in this way. Returns `None` if the
    /// answer is none or not complete.
    pub(crate) fn read(bytes: &[u8], end: ConnectionEnd) -> Option<Self> {
        let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
        let rest = &bytes[head_end + 4..];
        let status = head.trim_start().split(' ').nth(1)?.to_owned();
        if status.starts_with('1') {
            return Self::read(rest, end);
        }
        let body = read_body(&head, &status, rest, end)?;
        Some(Self { status, body })
    }

    pub(crate) fn is_success(&self) -> bool {
        self.status.starts_with('2')
    }
}

fn read_body(head: &str, status: &str, rest: &[u8], end: ConnectionEnd) -> Option<Vec<u8>> {
    if matches!(status, "204" | "304") {
        return Some(Vec::new());
    }
    if field(head, "transfer-encoding").is_some_and(|coding| coding == "chunked") {
        return read_chunks(rest);
    }
    match field(head, "content-length") {
        Some(length) => rest.get(..length.parse().ok()?).map(<[u8]>::to_vec),
        None => (end == ConnectionEnd::Close).then(|| rest.to_vec()),
    }
}

fn field<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    let mut fields = head.split("\r\n").filter_map(|line| line.split_once(':'));
    fields.find(|(key, _)| *key == name).map(|(_, value)| value.trim())
}

fn read_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = rest.windows(2).position(|two| two == b"\r\n")?;
        let line = std::str::from_utf8(&rest[..line_end]).ok()?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        rest = &rest[line_end + 2..];
        if size == 0 {
            // Trailers may stand before the empty line.
            let is_ended =
                rest.starts_with(b"\r\n") || rest.windows(4).any(|four| four == b"\r\n\r\n");
            return is_ended.then_some(body);
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size + 2..)?;
    }
}
