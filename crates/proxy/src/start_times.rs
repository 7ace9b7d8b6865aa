//! Converts the start times of endpoints, which are Unix times, to the clock of the process. The system's time may be
//! stepped while the process runs; its own clock runs on.

#[cfg(test)]
mod tests;

use oakport_core::Micros;
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

/// A larger change of the offset between the two clocks is a step.
const MIN_STEP_US: i64 = 50_000;
/// The latest offsets that are remembered: a start time may have been taken before a step.
const MAX_OFFSETS: usize = 8;

/// The offsets between Unix time and the clock of the process that have been observed.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// Unix time less the time of the process, in microseconds, the latest last.
    offsets_us: VecDeque<i64>,
}

impl StartTimes {
    /// Observes the system's time at `now`.
    pub fn observe_system_time(&mut self, now: Micros) {
        if let Ok(unix_time) = SystemTime::now().duration_since(UNIX_EPOCH) {
            self.observe(unix_time.as_micros() as Micros, now);
        }
    }

    fn observe(&mut self, unix_time: Micros, now: Micros) {
        let offset_us = unix_time as i64 - now as i64;
        match self.offsets_us.back_mut() {
            Some(latest_us) if latest_us.abs_diff(offset_us) < MIN_STEP_US as u64 => *latest_us = offset_us,
            _ => self.offsets_us.push_back(offset_us),
        }
        if self.offsets_us.len() > MAX_OFFSETS {
            self.offsets_us.pop_front();
        }
    }

    /// When a process started whose start time is `since` in Unix time, as known at `now`; 0 stands for long ago. Of the
    /// times that the observed offsets permit it is the latest: an endpoint that is taken for colder than it is costs
    /// less than one that is taken for warmer.
    pub fn started_at(&self, since: Micros, now: Micros) -> Micros {
        if since == 0 {
            return 0;
        }
        let candidates = self.offsets_us.iter().map(|offset_us| since as i64 - offset_us);
        let latest = candidates.filter(|&at| at <= now as i64).max();
        latest.map_or(now, |at| at.max(1) as Micros)
    }
}
