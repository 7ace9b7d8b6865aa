//! Parses the head of a client's request.

#[cfg(test)]
mod tests;

use super::response::RequestError;
use crate::dispatcher::Dispatcher;
use crate::request::{CallAttributes, REQUEST_ID_HEADER};
use crate::request_id_table::RequestDigest;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::Method;
use oakport_core::{ClassId, Micros};

const TIMEOUT_HEADER: &str = "x-timeout";
const TENANT_HEADER: &str = "x-tenant-id";
const RETRIED_HEADER: &str = "x-retried";

/// Subtracted from the client's timeout, so that the final response arrives before it expires.
const RESPONSE_MARGIN_US: Micros = 2_000;
/// Maximum client timeout; longer ones are reduced to this.
const MAX_CLIENT_TIMEOUT_US: Micros = 600_000_000;

/// The parsed head of a valid request.
pub struct RequestHead {
    pub class: ClassId,
    /// How long the client waits for the final response, from the request's last byte on.
    pub client_timeout_us: Micros,
    pub tenant: Option<String>,
    /// The digest of the id of a request that must not run twice; `None` for an idempotent one.
    pub single_run: Option<RequestDigest>,
    /// The client marked the request as a retry.
    pub is_retry: bool,
}

impl RequestHead {
    /// Parses a head according to the current settings.
    ///
    /// # Errors
    /// The head lacks a required header, has an invalid timeout, or names a class that is not in the
    /// settings.
    pub fn parse(dispatcher: &Dispatcher, parts: &Parts) -> Result<Self, RequestError> {
        let timeout = parts.headers.get(TIMEOUT_HEADER);
        let timeout = timeout.and_then(|value| value.to_str().ok()).and_then(parse_timeout_us);
        let timeout_us = timeout.ok_or(RequestError::InvalidTimeout)?;
        let id = parts.headers.get(REQUEST_ID_HEADER).ok_or(RequestError::MissingRequestId)?;
        // No endpoint serves a class that is not in the settings: it would only answer with an error.
        let class = class_id(dispatcher, parts.uri.path()).ok_or(RequestError::UnknownClass)?;
        Ok(RequestHead {
            class,
            client_timeout_us: timeout_us.saturating_sub(RESPONSE_MARGIN_US).max(1),
            tenant: text_header(&parts.headers, TENANT_HEADER),
            single_run: (!dispatcher.is_idempotent(class)).then(|| RequestDigest::of(id.as_bytes())),
            is_retry: parts.headers.get(RETRIED_HEADER).is_some_and(|value| value.as_bytes() == b"1"),
        })
    }

    /// The attributes of the call for the dispatcher.
    pub fn call_attributes(&self) -> CallAttributes {
        CallAttributes { class: self.class, tenant: self.tenant.clone(), is_retry: self.is_retry }
    }
}

/// The class that the first segment of a path names.
pub fn class_id(dispatcher: &Dispatcher, path: &str) -> Option<ClassId> {
    let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    dispatcher.class_id(name)
}

/// Whether the request is a health check of this process.
pub fn is_health_check(parts: &Parts) -> bool {
    parts.uri.path() == "/_health" && matches!(parts.method, Method::GET | Method::HEAD)
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Parses an integer with a unit: `m` for milliseconds or `u` for microseconds. `None` if the text is
/// malformed or the value is zero.
fn parse_timeout_us(text: &str) -> Option<Micros> {
    let text = text.trim();
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit_us = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    if !number.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let timeout_us = number.parse::<Micros>().ok()?.saturating_mul(unit_us);
    (timeout_us > 0).then_some(timeout_us.min(MAX_CLIENT_TIMEOUT_US))
}
