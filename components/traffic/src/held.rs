//! Bytes of upstreams' answers held in memory.
//!
//! An answer that is not relayed as it comes is held until it is whole, as is an event of a stream.
//! An upstream in trouble may send bytes without end, and many may at once. So an answer may hold as
//! much as it leaves free: a single large one gets half of the memory, and many that grow together
//! are given up while there is room for others.

use std::cell::Cell;
use std::rc::Rc;

use types::prelude::*;

/// Bytes of each answer that are not counted: the number of answers is bounded by the callers'
/// connections.
const UNCOUNTED: usize = 16 * 1024;

/// The answers held in memory.
#[derive(Debug)]
pub(crate) struct HeldAnswers {
    max: u64,
    bytes: Cell<u64>,
}

/// One answer that is held; it counts until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    answers: Rc<HeldAnswers>,
    bytes: u64,
}

impl HeldAnswers {
    /// Creates the account of at most this many bytes.
    pub(crate) fn new(max: ByteSize) -> Rc<Self> {
        Rc::new(Self {
            max: max.0,
            bytes: Cell::default(),
        })
    }

    /// Bytes held, without the uncounted ones of each answer.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Begins an answer that holds nothing yet.
    pub(crate) fn begin(self: &Rc<Self>) -> HeldAnswer {
        HeldAnswer {
            answers: Rc::clone(self),
            bytes: 0,
        }
    }
}

impl HeldAnswer {
    /// Sets how many bytes the answer holds; false if it may not hold so many.
    pub(crate) fn set_len(&mut self, len: usize) -> bool {
        let bytes = len.saturating_sub(UNCOUNTED) as u64;
        let others = self.answers.bytes.get() - self.bytes;
        let is_growing = bytes > self.bytes;
        let left = self.answers.max.saturating_sub(others + bytes);
        if is_growing && bytes > left {
            return false;
        }
        self.bytes = bytes;
        self.answers.bytes.set(others + bytes);
        true
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        let bytes = self.answers.bytes.get();
        self.answers.bytes.set(bytes - self.bytes);
    }
}
