//! Requests as endpoints that use no HTTP library read them.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Opens an address and serves each connection to it by itself.
pub(crate) async fn serve_each<S>(serve: impl Fn(TcpStream) -> S + 'static) -> SocketAddr
where
    S: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream));
        }
    });
    address
}

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
