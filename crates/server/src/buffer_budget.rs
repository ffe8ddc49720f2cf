//! Limits the memory of all request and response bodies that the daemon holds at a time.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Memory that bodies may use together.
#[derive(Debug)]
pub struct BufferBudget {
    used_bytes: AtomicUsize,
    bytes_max: usize,
}

impl BufferBudget {
    /// Creates a budget of `bytes_max` bytes.
    #[must_use]
    pub fn new(bytes_max: usize) -> Arc<Self> {
        Arc::new(Self { used_bytes: AtomicUsize::new(0), bytes_max })
    }

    /// Size of the budget.
    #[must_use]
    pub fn bytes_max(&self) -> usize {
        self.bytes_max
    }

    /// An empty part of the budget.
    #[must_use]
    pub fn share(self: &Arc<Self>) -> BufferShare {
        BufferShare { budget: self.clone(), bytes: 0 }
    }
}

/// Memory of one body; returned to the budget when dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl BufferShare {
    /// Takes `bytes` more bytes. Returns false, and takes none, if the budget is used up.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used_bytes = self.budget.used_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if used_bytes > self.budget.bytes_max {
            self.budget.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        true
    }

    /// Takes or returns bytes, so that the share is of `bytes` bytes. Returns false, and changes nothing, if the budget is used
    /// up.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        self.budget.used_bytes.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
