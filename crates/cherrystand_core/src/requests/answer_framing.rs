//! Decides whether the head of an answer says in one way only where the answer's body ends.
//!
//! Source: RFC 9112, section 6.

/// The statuses that a final answer may have.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// The status of an answer without content.
const NO_CONTENT: u16 = 204;

/// The only transfer coding that is read.
const CHUNKED: &[u8] = b"chunked";

/// The parts of a head that tell where the body ends.
#[derive(Clone, Copy, Debug)]
pub struct AnswerFraming<E, L> {
    /// The status.
    pub status: u16,
    /// Whether the answer is of HTTP/1.1 or later. Earlier versions have no transfer codings.
    pub has_transfer_codings: bool,
    /// The values of the `Transfer-Encoding` lines.
    pub encodings: E,
    /// The values of the `Content-Length` lines.
    pub lengths: L,
}

/// What tells where the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// A length, the last chunk, or that there is no body.
    Framed,
    /// The end of its connection. Only the next hop can tell it from an interruption.
    Connection,
}

/// Why an answer can't be believed: what it is, or where it ends, isn't known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedAnswer {
    /// The status is not one of a final answer.
    #[error("its status {0} is not one of a final answer")]
    Status(u16),
    /// The transfer coding is not just `chunked`.
    #[error("its body has a transfer coding other than `chunked`")]
    TransferCoding,
    /// The body has a transfer coding, and a length as well.
    #[error("its head has both a transfer coding and a length")]
    CodingAndLength,
    /// The length is not a number, or there are several that differ.
    #[error("its length is not a number, or not one only")]
    Length,
    /// The status says that there is no body, and the head tells of one.
    #[error("its head tells of a body that its status excludes")]
    UnexpectedBody,
    /// A line of the head ends with a line feed alone.
    #[error("a line of its head ends without a carriage return")]
    BareLineFeed,
    /// Bytes that begin no other answer follow the end that the head tells.
    #[error("bytes that are no answer follow its end")]
    SurplusBytes,
}

impl<'a, E, L> AnswerFraming<E, L>
where
    E: Iterator<Item = &'a [u8]>,
    L: Iterator<Item = &'a [u8]>,
{
    /// Checks that the end of the body is known, and returns what tells it if there is a body.
    ///
    /// # Errors
    ///
    /// Returns a [`MalformedAnswer`] if it isn't, or if the answer is none that ends a request.
    pub fn check(self) -> Result<BodyEnd, MalformedAnswer> {
        if !FINAL_STATUSES.contains(&self.status) {
            return Err(MalformedAnswer::Status(self.status));
        }
        let is_coded = has_chunked_coding(self.encodings)?;
        let length = read_length(self.lengths)?;
        if is_coded && !self.has_transfer_codings {
            return Err(MalformedAnswer::TransferCoding);
        }
        if is_coded && length.is_some() {
            return Err(MalformedAnswer::CodingAndLength);
        }
        if self.status == NO_CONTENT && (is_coded || length.unwrap_or(0) > 0) {
            return Err(MalformedAnswer::UnexpectedBody);
        }
        match is_coded || length.is_some() {
            true => Ok(BodyEnd::Framed),
            false => Ok(BodyEnd::Connection),
        }
    }
}

fn has_chunked_coding<'a>(
    mut encodings: impl Iterator<Item = &'a [u8]>,
) -> Result<bool, MalformedAnswer> {
    let Some(first) = encodings.next() else { return Ok(false) };
    let is_chunked = first.trim_ascii().eq_ignore_ascii_case(CHUNKED);
    match is_chunked && encodings.next().is_none() {
        true => Ok(true),
        false => Err(MalformedAnswer::TransferCoding),
    }
}

fn read_length<'a>(
    lengths: impl Iterator<Item = &'a [u8]>,
) -> Result<Option<u64>, MalformedAnswer> {
    let mut length = None;
    for value in lengths {
        let read = parse_length(value).ok_or(MalformedAnswer::Length)?;
        if length.is_some_and(|earlier| earlier != read) {
            return Err(MalformedAnswer::Length);
        }
        length = Some(read);
    }
    Ok(length)
}

fn parse_length(value: &[u8]) -> Option<u64> {
    // `parse` would take a sign.
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
