//! Decides which answer of unknown length ends if several of them wait for memory.

use std::collections::BTreeMap;

/// Answers that wait together hold at most this fraction (1/n) of the memory for bodies, or one of them
/// ends.
const WAITING_DIVISOR: usize = 4;

/// Answers of unknown length that wait for more memory while they hold some.
///
/// They may wait for each other for ever. Whoever waits alone gets memory once others, who don't wait,
/// are done.
#[derive(Debug, Default)]
pub struct WaitingAnswers {
    held: BTreeMap<WaitingAnswer, usize>,
    last: u64,
}

/// Identifies an answer that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingAnswer(u64);

impl WaitingAnswers {
    /// Records that an answer waits that holds `bytes`. One that holds none blocks nobody.
    pub fn begin(&mut self, bytes: usize) -> WaitingAnswer {
        self.last += 1;
        let answer = WaitingAnswer(self.last);
        if bytes > 0 {
            self.held.insert(answer, bytes);
        }
        answer
    }

    /// Records that an answer waits no longer.
    pub fn end(&mut self, answer: WaitingAnswer) {
        self.held.remove(&answer);
    }

    /// Returns whether an answer has to end, of a memory of `capacity` bytes: the largest, the later one
    /// of two that are as large.
    pub fn must_end(&self, answer: WaitingAnswer, capacity: usize) -> bool {
        let largest = self.held.iter().max_by_key(|(answer, bytes)| (**bytes, **answer));
        let is_largest = largest.is_some_and(|(largest, _)| *largest == answer);
        let total: usize = self.held.values().sum();
        is_largest && self.held.len() > 1 && total > capacity / WAITING_DIVISOR
    }
}
