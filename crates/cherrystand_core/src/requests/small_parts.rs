//! Decides when the parts of a whole answer are too many for what they bring.

/// An answer may come in so many parts, however small they are.
pub const MAX_SMALL_PARTS: usize = 64 << 10;

/// The size from which on parts are not small, in bytes.
const SMALL_PART_BYTES: usize = 64;

/// Returns whether an answer came in more parts than it may have for its bytes. Reading small parts
/// takes so much time that it would not reach the limit of its memory before the deadline.
pub fn are_too_many_small_parts(parts: usize, bytes: usize) -> bool {
    parts > MAX_SMALL_PARTS && bytes / parts < SMALL_PART_BYTES
}
