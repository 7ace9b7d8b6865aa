//! Bodies of requests and responses within a memory limit: buffered up to 64 KiB, larger ones streamed chunk
//! by chunk with backpressure in both directions.

mod counted_bytes;
mod detached_body;
mod head_reservation;
mod memory_limit;
mod read_ahead_buffer;
mod request_stream;
mod response_stream;
mod upload;

pub use counted_bytes::CountedBytes;
pub use detached_body::{BodySource, DetachRequest, DetachedBody, DetachedResponse};
pub use head_reservation::{reserve_head, HeadReservation};
pub use memory_limit::{
    buffer_bytes, MemoryLimit, MemoryReservation, MAX_BUFFERED_BODY_BYTES, STREAMED_BODY_BYTES,
};
pub use read_ahead_buffer::{ReadAheadBuffer, ReadAheadLimit};
pub use request_stream::{RequestStream, WriteProgress};
pub use response_stream::{AbortCondition, BodyChunk, ResponseStream};
pub use upload::{
    reserve_while_arriving, BodyError, ByteArrivals, ReadState, RequestBodyReader, Upload, UploadPrefix,
};
