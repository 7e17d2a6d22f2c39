//! Decides when the bytes that a server sends can no longer become an answer.

/// How many bytes may arrive from a server without bringing a head or a part of a body. Heads and
/// trailers have limits of their own far below; this leaves room for what is read ahead.
pub const MAX_FRUITLESS_BYTES: usize = 256 << 10;

/// Returns whether bytes that brought no head and no part of a body are more than an answer may have,
/// as of informational heads without end, or of the digits of a chunk's size.
pub fn are_too_many_fruitless_bytes(bytes: usize) -> bool {
    bytes > MAX_FRUITLESS_BYTES
}
