//! Decides what bytes behind the end of an answer say of that answer.

/// Returns whether the bytes behind the end of an answer show that it may be more than its head says.
///
/// A server may send another whole answer at once; the one before it is whole. Other bytes may be the
/// rest of a body whose length is told wrongly.
pub fn may_belong_to_answer(surplus: &[u8]) -> bool {
    !surplus.is_empty() && !begins_answer(surplus)
}

/// Returns whether bytes begin with a status line, up to its status.
fn begins_answer(bytes: &[u8]) -> bool {
    matches!(
        bytes.strip_prefix(b"HTTP/1."),
        Some([b'0' | b'1', b' ', b'0'..=b'9', b'0'..=b'9', b'0'..=b'9', ..])
    )
}
