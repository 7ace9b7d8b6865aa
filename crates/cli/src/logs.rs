//! Writes log lines to standard error: as text or JSON, filtered by level, and rate-limited so that a failure that
//! repeats on each request can neither fill a disk nor use up the processor.

use crate::args::{LogFormat, LogLevel};
use std::collections::HashMap;
use std::io::IsTerminal;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::callsite::Identifier;
use tracing::{warn, Event, Metadata, Subscriber};
use tracing_subscriber::filter::{EnvFilter, ParseError};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable that holds a filter, such as `warn,oakport_proxy::discovery=debug`.
const FILTER_VARIABLE: &str = "OAKPORT_LOG";
/// Maximum number of lines that each call site may log per window.
const MAX_LINES_PER_WINDOW: u32 = 20;
/// Window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// `$OAKPORT_LOG` is not a valid filter.
#[derive(Debug, Error)]
#[error(
    "{FILTER_VARIABLE}={value}: {source}; write a level, or TARGET=LEVEL,... such as warn,oakport_proxy=debug"
)]
pub struct InvalidLogFilter {
    value: String,
    source: ParseError,
}

/// Line counts of one call site: logged in its current window, and suppressed since the last report.
struct CallSite {
    metadata: &'static Metadata<'static>,
    window_start: Instant,
    logged: u32,
    suppressed: u64,
}

/// Number of suppressed lines of one call site.
struct SuppressedLines {
    call_site: &'static Metadata<'static>,
    count: u64,
}

/// Limits the lines that each call site may log, and counts the suppressed ones.
#[derive(Clone, Default)]
pub struct RateLimit(Arc<Mutex<HashMap<Identifier, CallSite>>>);

impl RateLimit {
    /// Whether this call site may log a line now. If not, counts the line as suppressed.
    fn allows(&self, metadata: &'static Metadata<'static>, now: Instant) -> bool {
        let mut call_sites = self.lock();
        let call_site = call_sites.entry(metadata.callsite()).or_insert(CallSite {
            metadata,
            window_start: now,
            logged: 0,
            suppressed: 0,
        });
        if now.duration_since(call_site.window_start) >= WINDOW {
            call_site.window_start = now;
            call_site.logged = 0;
        }
        let allowed = call_site.logged < MAX_LINES_PER_WINDOW;
        if allowed {
            call_site.logged += 1;
        } else {
            call_site.suppressed += 1;
        }
        allowed
    }

    /// Returns the number of lines suppressed since the last call, by call site, and resets it.
    fn take_suppressed(&self) -> Vec<SuppressedLines> {
        let mut call_sites = self.lock();
        let suppressed = call_sites.values_mut().map(|call_site| SuppressedLines {
            call_site: call_site.metadata,
            count: std::mem::take(&mut call_site.suppressed),
        });
        suppressed.filter(|lines| lines.count > 0).collect()
    }

    /// Logs the number of suppressed lines each second, for as long as the program runs.
    pub async fn report_suppressed(&self) {
        loop {
            tokio::time::sleep(WINDOW).await;
            for lines in self.take_suppressed() {
                warn!(suppressed = lines.count, at = lines.call_site.name(), "repeated lines suppressed");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Identifier, CallSite>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for RateLimit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        self.allows(event.metadata(), Instant::now())
    }
}

/// Starts logging; must be called only once. `level`, if given, overrides `$OAKPORT_LOG`.
///
/// # Errors
/// If `$OAKPORT_LOG` is not a valid filter.
pub fn start(format: LogFormat, level: Option<LogLevel>) -> Result<RateLimit, InvalidLogFilter> {
    let value = std::env::var(FILTER_VARIABLE).ok().filter(|text| !text.is_empty() && level.is_none());
    let directives = value.clone().unwrap_or_else(|| format!("{:?}", level.unwrap_or(LogLevel::Info)));
    let filter = EnvFilter::try_new(directives)
        .map_err(|source| InvalidLogFilter { value: value.unwrap_or_default(), source })?;
    let rate_limit = RateLimit::default();
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let registry = tracing_subscriber::registry().with(filter).with(rate_limit.clone());
    match format {
        LogFormat::Text => registry.with(lines.with_ansi(std::io::stderr().is_terminal())).init(),
        LogFormat::Json => registry.with(lines.json().flatten_event(true)).init(),
    }
    Ok(rate_limit)
}

#[cfg(test)]
mod tests;
