//! Attempts at hosts: a request goes out on a connection, its answer comes back whole or is passed on.

use crate::body::{
    BodyChunk, MemoryLimit, MemoryReservation, RequestStream, WriteProgress, MAX_BUFFERED_BODY_BYTES,
};
use crate::metrics::Metrics;
use crate::request::Request;
use crate::response::{AttemptResult, StreamingResponse};
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::pool::{ConnectionPool, Target};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::StatusCode;
use oakport_core::{LoadReport, Micros, Outcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// An answer whose length is not told is passed on this long after its first bytes, whole or not.
const WHOLE_TIME: Duration = Duration::from_millis(100);
/// A host that gives nothing more of an answer, or takes nothing more of a request, for this long has stopped.
const HALT_TIME: Duration = Duration::from_secs(10);
/// ... and the least that a host is given for some of a large request.
const PATIENCE_LEAST: Duration = Duration::from_secs(1);

/// An answer as far as it is here before anything of it is passed on.
enum Came {
    Whole(Bytes),
    /// Its first bytes, when the rest is not to be waited for.
    Part(Bytes, Incoming),
}

/// Reads an answer until it is whole or is to be passed on. An answer in pieces is only passed on if it is one
/// that serves; of any other that is large no more is needed than that it is there.
async fn come(
    head: &Parts,
    mut body: Incoming,
    part: &mut MemoryReservation,
    memory: &MemoryLimit,
) -> Option<Came> {
    let length = body.size_hint().exact();
    // A body may end with its connection, where its head says that this closes. Else that may be a cut.
    let closes = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || head.headers.get_all(header::CONNECTION).iter().any(closes)
        || head.status == StatusCode::NO_CONTENT;
    let large = length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
    let mut first = BytesMut::new();
    let mut since: Option<tokio::time::Instant> = None;
    loop {
        let until = since.filter(|_| framed && length.is_none()).map(|since| since + WHOLE_TIME);
        let frame = match until {
            Some(until) => tokio::time::timeout_at(until, body.frame()).await,
            None => Ok(body.frame().await),
        };
        match frame {
            Ok(Some(frame)) => {
                if let Ok(piece) = frame.ok()?.into_data() {
                    since = since.or(Some(tokio::time::Instant::now()));
                    memory.reserve(part, first.len() + piece.len()).await;
                    first.extend_from_slice(&piece);
                }
            }
            Ok(None) => return framed.then(|| Came::Whole(first.freeze())),
            Err(_) => return Some(Came::Part(first.freeze(), body)),
        }
        if framed && (large || first.len() > MAX_BUFFERED_BODY_BYTES) && !first.is_empty() {
            return Some(Came::Part(first.freeze(), body));
        }
        if first.len() > MAX_BUFFERED_BODY_BYTES {
            return None;
        }
    }
}

/// Makes one attempt and tells how it ended. `left` is the time it still has; `may_start` is asked right
/// before the first byte; `begin` takes a large answer, unless nobody wants it any more.
pub async fn attempt(
    pool: &Rc<ConnectionPool>,
    target: Target,
    request: &Request,
    left: impl Fn() -> Micros,
    may_start: impl Fn() -> bool,
    begin: impl FnOnce(StreamingResponse) -> bool,
) -> AttemptResult {
    if request.upload.as_ref().is_some_and(|rest| !rest.is_unread()) {
        // What has gone to one host is not here any more for another.
        return Outcome::NotSent.into();
    }
    let mut link = match pool.checkout(&target).await {
        Some(link) => link,
        None => match pool.connect(&target).await {
            Ok(link) => link,
            Err(outcome) => return outcome.into(),
        },
    };
    if !may_start() {
        pool.return_unused(target.endpoint, link).await;
        return Outcome::NotSent.into();
    }
    let claimed = request.upload.as_ref().is_none_or(|rest| rest.try_claim());
    let message = message(request, left(), &link.handover).filter(|_| claimed);
    let Some(message) = message else { return Outcome::NotSent.into() };
    let mut part = MemoryReservation::default();
    let sent = link.sender.send_request(message);
    let stuck = stuck(Rc::clone(&link.handover), request);
    let came = link.drive(&pool.figures, true, async {
        let (head, body) = sent.await.ok()?.into_parts();
        let came = come(&head, body, &mut part, &pool.memory).await?;
        Some((head, came))
    });
    let came = tokio::select! {
        came = came => came.flatten(),
        () = stuck => None,
    };
    let Some((head, came)) = came else {
        if request.upload.as_ref().is_some_and(|rest| rest.has_failed()) {
            // The client's fault, and its request's end: the front sees to that.
            drop(link);
            return std::future::pending().await;
        }
        // Never ran only if the last byte was not handed to the socket; all else may have run.
        return if link.handover.is_complete() { Outcome::Reset } else { Outcome::ConnectFailed }.into();
    };
    let load = head.headers.get("x-server-load").map(load).unwrap_or_default();
    let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
    let turned_away = head.headers.get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        status if status.is_client_error() => Outcome::InvalidRequest,
        _ => Outcome::Error,
    };
    let served = match came {
        Came::Whole(body) => {
            pool.return_after_response(&target, link).await;
            (outcome == Outcome::Served).then_some((body, content_type))
        }
        Came::Part(first, body) if outcome == Outcome::Served => {
            pool.memory.reserve(&mut part, MAX_BUFFERED_BODY_BYTES + 1).await;
            let (pieces, rest) = mpsc::channel(1);
            let length = body.size_hint().exact().map(|left| left + first.len() as u64);
            if !begin(StreamingResponse { first_chunk: first, chunks: rest, length, content_type }) {
                return Outcome::Cancelled.into();
            }
            let ended = pass_on(&mut link, &pool.figures, body, pieces).await;
            if ended == Outcome::Served {
                pool.return_after_response(&target, link).await;
            }
            return AttemptResult { outcome: ended, load, served: None };
        }
        // The rest of an answer that serves nobody goes with its connection.
        Came::Part(..) => None,
    };
    AttemptResult { outcome, load, served }
}

/// Waits until a host has taken nothing of a large request for as long as the client would wait for an answer.
async fn stuck(handover: Rc<WriteProgress>, request: &Request) {
    let patience = Duration::from_micros(request.client_timeout).clamp(PATIENCE_LEAST, HALT_TIME);
    while request.upload.is_some() && handover.stalled_for() < patience {
        tokio::time::sleep(PATIENCE_LEAST / 10).await;
    }
    if request.upload.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Passes the rest of an answer on, each piece once the one before has been taken. What the host still gives
/// is never cut; if it comes to a halt, or the client leaves, it ends.
async fn pass_on(
    link: &mut UpstreamConnection,
    figures: &Metrics,
    mut body: Incoming,
    pieces: mpsc::Sender<BodyChunk>,
) -> Outcome {
    loop {
        // After the last byte nobody need be there to take more.
        let whole = body.is_end_stream();
        let next = tokio::time::timeout(HALT_TIME, body.frame());
        let frame = tokio::select! {
            biased;
            frame = link.drive(figures, true, next) => frame,
            () = pieces.closed(), if !whole => return Outcome::Cancelled,
        };
        let piece = match frame {
            Some(Ok(Some(Ok(frame)))) => match frame.into_data() {
                Ok(piece) => BodyChunk::Data(piece),
                Err(_) => continue,
            },
            Some(Ok(None)) => BodyChunk::End,
            Some(Ok(Some(Err(_)))) | None => return Outcome::Reset,
            Some(Err(_)) => return Outcome::TimedOut,
        };
        // The connection is driven on: some of the request may still be on its way out.
        let end = matches!(piece, BodyChunk::End);
        match link.drive(figures, false, pieces.reserve()).await {
            Some(Ok(place)) => place.send(piece),
            _ if !end => return Outcome::Cancelled,
            _ => {}
        }
        if end {
            return Outcome::Served;
        }
    }
}

/// Headers that concern one connection only (RFC 9110, 7.6.1), and those that are written anew.
fn passes(name: &HeaderName) -> bool {
    let own = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-timeout",
    ];
    !own.contains(&name.as_str())
}

fn message(
    request: &Request,
    left: Micros,
    handover: &Rc<WriteProgress>,
) -> Option<hyper::Request<RequestStream>> {
    let rest = request.upload.as_ref().map(|rest| (Rc::clone(rest), request.length));
    let mut message =
        hyper::Request::new(RequestStream::new(request.body.clone(), rest, Rc::clone(handover)));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    for (name, value) in request.headers.iter().filter(|(name, _)| passes(name)) {
        headers.append(name, value.clone());
    }
    headers.insert("x-timeout", HeaderValue::from_str(&format!("{left}u")).ok()?);
    Some(message)
}

/// Reads a load report. What is odd in it is skipped. Its figures bear the names that the settings give the
/// columns (`active`), or those of the protocol's example (`inflight`): a reader of the latter alone left the
/// module without any report, and hosts were loaded until calls timed out.
pub fn load(value: &HeaderValue) -> LoadReport {
    let mut load = LoadReport::default();
    let text = value.to_str().unwrap_or_default();
    for (name, value) in text.trim_start_matches("TEXT").split(',').filter_map(|part| part.split_once('=')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "active" | "inflight" => load.in_flight = value,
            "waiting" | "queue" => load.queued = value,
            "cpu" | "util" => load.utilisation = value,
            "err_rps" | "eps" => load.error_rate = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Clock;
    use crate::descriptors::Descriptors;
    use crate::downstream::connection::ClientPresence;
    use hyper::header::HeaderMap;
    use hyper::http::{Method, Uri};
    use oakport_core::settings_wire::TransportSettings;
    use oakport_core::EndpointId;
    use std::io::{Read, Write};
    use std::net::TcpListener;

    /// One attempt at a stub that reads a little and answers `text`.
    fn attempt_at(text: &'static str, may_start: bool) -> AttemptResult {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            if stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
                stream.write_all(text.as_bytes()).expect("an open connection");
            }
        });
        let transport = TransportSettings {
            max_open_requests: 9,
            idle_connection_timeout: 60_000_000,
            connect_timeout: Duration::from_secs(9).as_micros() as Micros,
            handshake_charge: 0.0,
            shortest_latency_objective: 400_000,
        };
        let pool = ConnectionPool::new(
            transport,
            1,
            Descriptors::new(9),
            Clock::start(),
            Rc::default(),
            MemoryLimit::new(64),
        );
        let target = Target { endpoint: EndpointId(0), address, generation: 0 };
        let request = Request {
            method: Method::GET,
            uri: Uri::from_static("/a"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            upload: None,
            length: Some(0),
            client_timeout: 1_000,
            client: ClientPresence::default(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(attempt(&pool, target, &request, || 1_000, || may_start, |_| false))
    }

    #[test]
    fn a_load_report_is_read_under_the_names_of_the_settings_and_of_the_example() {
        let wanted = LoadReport {
            in_flight: Some(7.0),
            queued: Some(2.5),
            utilisation: Some(0.5),
            error_rate: Some(0.0),
        };
        for text in [
            "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT active=7, waiting=2.5, avg_ms=9, cpu=0.5, err_rps=0\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=7,queue=2.5,util=0.5,eps=0,odd\r\nContent-Length: 0\r\n\r\n",
        ] {
            let ended = attempt_at(text, true);
            assert_eq!((ended.outcome, ended.load), (Outcome::Served, wanted), "{text}");
        }
    }

    #[test]
    fn what_may_not_start_any_more_is_not_sent() {
        let ended = attempt_at("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
        assert_eq!(ended.outcome, Outcome::NotSent);
    }
}
