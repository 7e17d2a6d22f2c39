//! Decides what bytes behind the end of an answer say of that answer.

/// The shortest beginning of an answer, up to its status.
const STATUS_LINE: &[u8] = b"HTTP/1.1 200";

/// Where the minor version stands in a status line.
const MINOR_VERSION: usize = b"HTTP/1.".len();

/// Where the status stands in a status line.
const STATUS: usize = b"HTTP/1.1 ".len();

/// Returns whether the bytes behind the end of an answer show that it may be more than its head says.
///
/// A server may send another whole answer at once; the one before it is whole. Other bytes may be the
/// rest of a body whose length is told wrongly.
pub fn may_belong_to_answer(surplus: &[u8]) -> bool {
    !surplus.is_empty() && !begins_answer(surplus)
}

fn begins_answer(bytes: &[u8]) -> bool {
    let Some(start) = bytes.get(..STATUS_LINE.len()) else { return false };
    start[..MINOR_VERSION] == STATUS_LINE[..MINOR_VERSION]
        && matches!(start[MINOR_VERSION], b'0' | b'1')
        && start[MINOR_VERSION + 1] == b' '
        && start[STATUS..].iter().all(u8::is_ascii_digit)
}
