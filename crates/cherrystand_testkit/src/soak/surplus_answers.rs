//! Whole answers on one connection that are sent once more.

use std::time::Duration;

use tokio::time::Instant;

/// After how long answers are sent once more, one after the other.
const DELAYS: [Duration; 6] = [
    Duration::from_millis(100),
    Duration::from_millis(250),
    Duration::ZERO,
    Duration::from_millis(600),
    Duration::from_millis(30),
    Duration::from_millis(1_900),
];

/// Larger answers are not sent once more, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Follows the answers on one connection and keeps copies of some.
#[derive(Debug, Default)]
pub(crate) struct SurplusAnswers {
    /// What has arrived of the current answer.
    current: Vec<u8>,
    whole_count: usize,
    copies: Vec<(Instant, Vec<u8>)>,
}

impl SurplusAnswers {
    /// Records bytes that were forwarded. One in `every` answers that end with them is to be sent once more; none
    /// if that is 0.
    pub(crate) fn record(&mut self, bytes: &[u8], every: usize) {
        self.current.extend_from_slice(bytes);
        if !is_whole(&self.current) {
            return;
        }
        let answer = std::mem::take(&mut self.current);
        self.whole_count += 1;
        if every > 0 && self.whole_count.is_multiple_of(every) && answer.len() <= MAX_ANSWER_BYTES {
            let delay = DELAYS[self.whole_count / every % DELAYS.len()];
            self.copies.push((Instant::now() + delay, answer));
        }
    }

    /// Waits until a copy is due and no answer is under way, and returns it.
    ///
    /// Dropping the future loses nothing.
    pub(crate) async fn next_due(&mut self) -> Vec<u8> {
        let first = self.copies.iter().map(|(due, _)| *due).enumerate().min_by_key(|(_, due)| *due);
        match first.filter(|_| self.current.is_empty()) {
            Some((index, due)) => {
                tokio::time::sleep_until(due).await;
                self.copies.swap_remove(index).1
            }
            None => std::future::pending().await,
        }
    }
}

/// Tells whether bytes are an answer to its end.
fn is_whole(bytes: &[u8]) -> bool {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let Some(end) = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) => bytes.len() == end + HEAD_END.len() + length,
        None => bytes.ends_with(b"\r\n0\r\n\r\n"),
    }
}
