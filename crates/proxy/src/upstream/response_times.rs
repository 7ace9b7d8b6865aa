//! How long the responses to requests of each class take. An extra response that an endpoint sends late to one request is
//! taken for the response to the next one on the connection: it comes sooner than that request can have been answered.

use oakport_core::{ClassId, Micros};

/// At least this many of the latest responses are taken into account, and at most twice as many.
const RESPONSES_PER_RANGE: u32 = 256;
/// No response is early in a class with fewer responses.
const MIN_RESPONSES: u32 = 64;
/// No response is early in a class with a shorter response time, which varies too much from one request to the next.
const MIN_SHORTEST_US: Micros = 10_000;
/// A response is early if so many times its response time is shorter than the shortest.
const EARLY_RESPONSE_FACTOR: Micros = 2;
/// An endpoint reads a request only after it has sent an extra response to the one before, and may take longer for it than
/// for others.
const CONFIRMATION_FACTOR: Micros = 2;

/// The shortest and the longest of a number of response times.
#[derive(Clone, Copy, Debug)]
struct Range {
    count: u32,
    shortest: Micros,
    longest: Micros,
}

impl Range {
    const EMPTY: Range = Range { count: 0, shortest: Micros::MAX, longest: 0 };

    fn record(&mut self, time: Micros) {
        self.count += 1;
        self.shortest = self.shortest.min(time);
        self.longest = self.longest.max(time);
    }

    fn merge(self, other: Range) -> Range {
        Range {
            count: self.count + other.count,
            shortest: self.shortest.min(other.shortest),
            longest: self.longest.max(other.longest),
        }
    }
}

/// The latest response times of one class.
#[derive(Clone, Copy, Debug)]
struct ClassTimes {
    current: Range,
    previous: Range,
}

impl Default for ClassTimes {
    fn default() -> Self {
        ClassTimes { current: Range::EMPTY, previous: Range::EMPTY }
    }
}

impl ClassTimes {
    fn record(&mut self, time: Micros) {
        if self.current.count == RESPONSES_PER_RANGE {
            self.previous = std::mem::replace(&mut self.current, Range::EMPTY);
        }
        self.current.record(time);
    }
}

/// The latest response times of all classes.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    classes: Vec<ClassTimes>,
}

impl ResponseTimes {
    /// Records how long the response to a request of this class took.
    pub fn record(&mut self, class: ClassId, time: Micros) {
        if self.classes.len() <= class.0 {
            self.classes.resize(class.0 + 1, ClassTimes::default());
        }
        self.classes[class.0].record(time);
    }

    /// If a response that took `time` is early, how long to wait for another response on the connection. One follows if the
    /// early one answers an earlier request.
    pub fn confirmation_time_if_early(&self, class: ClassId, time: Micros) -> Option<Micros> {
        let times = self.classes.get(class.0)?;
        let range = times.previous.merge(times.current);
        let is_known = range.count >= MIN_RESPONSES && range.shortest >= MIN_SHORTEST_US;
        let is_early = is_known && time * EARLY_RESPONSE_FACTOR < range.shortest;
        is_early.then_some(range.longest * CONFIRMATION_FACTOR)
    }
}

#[cfg(test)]
mod tests;
