//! Which bytes are the head of an answer.

use cherrystand_core::{HeadScan, MalformedAnswer};
use proptest::prelude::*;

const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
    "\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 404 None\r\nA: 1\r\n\r\n",
];

proptest! {
    /// Guards against a result that depends on how the bytes of a head are divided on their way.
    #[test]
    fn a_line_feed_alone_is_found_in_a_head_only_however_its_bytes_arrive(
        head in prop::sample::select(&HEADS[..]),
        cuts in prop::collection::vec(1..30_usize, 0..8),
        inserted in prop::option::of(0..80_usize),
    ) {
        let mut bytes = head.as_bytes().to_vec();
        let at = inserted.filter(|at| *at <= bytes.len());
        if let Some(at) = at {
            bytes.insert(at, b'\n');
        }
        bytes.extend_from_slice(b"body\n\n");
        // Before the head's last byte it ends the head, and that byte is the first of the body.
        let expected = match at.is_some_and(|at| at < head.len() - 1) {
            true => Err(MalformedAnswer::BareLineFeed),
            false => Ok(()),
        };
        let mut scan = HeadScan::default();
        let mut rest = &bytes[..];
        let mut read = Ok(());
        for cut in cuts {
            let (part, later) = rest.split_at(cut.min(rest.len()));
            read = read.and_then(|()| scan.read(part));
            rest = later;
        }
        read = read.and_then(|()| scan.read(rest));
        prop_assert_eq!(read, expected);
    }
}
