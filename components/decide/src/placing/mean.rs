//! Running means of times and sizes, and the decay of times without new samples.
//!
//! An endpoint that looks slow gets no requests, hence no samples. Without the decay it would look
//! slow for good.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::WorkKey;

/// Divisor of the weight of a new sample in a mean, which then follows a change within some eight
/// requests.
const MEAN_WEIGHT: u64 = 8;

/// Time without a sample in which the weight of a value halves: a second or two, so that a server
/// that was slow or failed is tried again soon, by one request of each daemon.
const HALF_LIFE_MICROS: u64 = 2_000_000;

/// Kinds of work with a mean of their own at one endpoint: twice the routes of a large service that
/// differ in their service times. Kinds beyond them share cells.
const WORK_CELLS: usize = 16;

/// A running mean of latencies with the number of samples.
#[derive(Debug, Default)]
pub(super) struct LatencyMean {
    /// Mean in microseconds.
    mean: AtomicU64,
    samples: AtomicU32,
    /// Microsecond of the last sample.
    at: AtomicU64,
}

impl LatencyMean {
    /// Adds a latency that was seen at `now`, and returns the number of samples.
    pub(super) fn add(&self, latency: Duration, now: Duration) -> u32 {
        self.at.store(micros(now), Ordering::Relaxed);
        let latency = micros(latency);
        let before = self.samples.fetch_add(1, Ordering::Relaxed);
        // The first samples weigh evenly, or the very first would count for most of the mean.
        let weight = u64::from(before).saturating_add(1).min(MEAN_WEIGHT);
        let mean = |current: u64| Some((current * (weight - 1) + latency) / weight);
        // The closure always returns a value, so the update cannot fail.
        let _ = self.mean.fetch_update(Ordering::Relaxed, Ordering::Relaxed, mean);
        before.saturating_add(1)
    }

    /// Returns the mean, if a sample came within the half-life.
    pub(super) fn recent(&self, now: Duration) -> Option<Duration> {
        let idle = micros(now).saturating_sub(self.at.load(Ordering::Relaxed));
        let is_recent = self.samples.load(Ordering::Relaxed) > 0 && idle < HALF_LIFE_MICROS;
        is_recent.then(|| Duration::from_micros(self.mean.load(Ordering::Relaxed)))
    }

    /// Returns the mean, the nearer to `usual` the longer no sample came.
    pub(super) fn decayed_towards(&self, usual: Duration, now: Duration) -> Duration {
        if self.samples.load(Ordering::Relaxed) == 0 {
            return usual;
        }
        let idle = micros(now).saturating_sub(self.at.load(Ordering::Relaxed));
        let weight = decay_factor(idle);
        let mean = Duration::from_micros(self.mean.load(Ordering::Relaxed));
        mean.mul_f64(weight) + usual.mul_f64(1.0 - weight)
    }

    /// Returns the mean, if it has at least `min_samples` samples.
    pub(super) fn mean_if_sampled(&self, min_samples: u32) -> Option<Duration> {
        (self.samples.load(Ordering::Relaxed) >= min_samples)
            .then(|| Duration::from_micros(self.mean.load(Ordering::Relaxed)))
    }

    /// Forgets the samples.
    pub(super) fn reset(&self) {
        self.samples.store(0, Ordering::Relaxed);
    }
}

/// Means by kind of work.
///
/// The kinds of work of one service can differ severalfold. Where an upload of 72 ms and an alert
/// of 24 ms shared one mean, an endpoint that had got uploads looked too slow for alerts, and nine
/// in ten of them left a data centre whose own server was nearly idle.
#[derive(Debug, Default)]
pub(super) struct WorkMeans<T> {
    cells: [WorkCell<T>; WORK_CELLS],
}

#[derive(Debug, Default)]
struct WorkCell<T> {
    /// The kind, zero while the cell is free.
    work: AtomicU64,
    mean: T,
}

impl<T> WorkCell<T> {
    /// Returns whether the cell belongs to a kind, after claiming it for the kind if it is free.
    /// Only a free cell is written to, since each request that is placed scans the cells.
    fn claim_for(&self, work: u64) -> bool {
        match self.work.load(Ordering::Relaxed) {
            0 => {
                let claimed =
                    self.work.compare_exchange(0, work, Ordering::Relaxed, Ordering::Relaxed);
                claimed.is_ok() || claimed == Err(work)
            }
            current => current == work,
        }
    }
}

impl<T> WorkMeans<T> {
    /// Returns the mean of a kind of work, in a cell that is claimed at its first use.
    pub(super) fn for_kind(&self, work: WorkKey) -> &T {
        // Zero marks a free cell.
        let work = work.wrapping_add(1).max(1);
        // The remainder is below the number of cells, so it fits.
        let first = (work % WORK_CELLS as u64) as usize;
        let mut probed = self.cells[first..].iter().chain(&self.cells[..first]);
        &probed.find(|cell| cell.claim_for(work)).unwrap_or(&self.cells[first]).mean
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &T> {
        self.cells.iter().map(|cell| &cell.mean)
    }
}

/// A running mean of sizes in bytes, zero while none is known.
#[derive(Debug, Default)]
pub(super) struct SizeMean(AtomicU64);

impl SizeMean {
    pub(super) fn add(&self, bytes: u64) {
        let mean = |current: u64| match current {
            0 => Some(bytes),
            current => Some((current * (MEAN_WEIGHT - 1) + bytes) / MEAN_WEIGHT),
        };
        // The closure always returns a value, so the update cannot fail.
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, mean);
    }

    pub(super) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns the weight, from 1 down to 0, of a value that is `idle` microseconds old.
pub(super) fn decay_factor(idle: u64) -> f64 {
    (-(idle as f64) / HALF_LIFE_MICROS as f64).exp2()
}

/// Returns a time in whole microseconds, cut off at the largest number.
pub(super) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

pub(super) fn signed_micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
