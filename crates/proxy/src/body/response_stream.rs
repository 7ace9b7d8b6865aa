//! An answer's body on its way to the client.

use super::upload::BodyError;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// One piece of an answer that is passed on, or its end; a channel that closes without the end was cut.
#[derive(Debug)]
pub enum BodyChunk {
    Data(Bytes),
    End,
}

/// An answer as it goes to the client: whole, or its first bytes and a channel for the rest.
#[derive(Debug)]
pub struct ResponseStream {
    first: Bytes,
    rest: Option<mpsc::Receiver<BodyChunk>>,
    left: Option<u64>,
}

impl ResponseStream {
    pub fn stream(first: Bytes, rest: mpsc::Receiver<BodyChunk>, length: Option<u64>) -> Self {
        ResponseStream { first, rest: Some(rest), left: length }
    }
}

impl From<Bytes> for ResponseStream {
    fn from(whole: Bytes) -> Self {
        let left = Some(whole.len() as u64);
        ResponseStream { first: whole, rest: None, left }
    }
}

impl Body for ResponseStream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let piece = if !self.first.is_empty() {
            BodyChunk::Data(std::mem::take(&mut self.first))
        } else if let Some(rest) = &mut self.rest {
            match std::task::ready!(rest.poll_recv(cx)) {
                Some(piece) => piece,
                // The client must see that this is not all: the connection ends without the end of the body.
                None => return Poll::Ready(Some(Err(BodyError::Aborted))),
            }
        } else {
            BodyChunk::End
        };
        Poll::Ready(match piece {
            BodyChunk::Data(piece) => {
                if let Some(left) = &mut self.left {
                    *left = left.saturating_sub(piece.len() as u64);
                }
                Some(Ok(Frame::data(piece)))
            }
            BodyChunk::End => {
                self.rest = None;
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map(SizeHint::with_exact).unwrap_or_default()
    }
}
