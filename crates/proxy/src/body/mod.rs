//! Bodies on their way: up to 64 KiB they are held whole, beyond that they pass piece by piece, each side waiting
//! for the other, within a budget of memory.

mod memory_limit;
mod request_stream;
mod response_stream;
mod upload;

pub use memory_limit::{
    MemoryLimit, MemoryReservation, MAX_BUFFERED_BODY_BYTES, MAX_CONNECTION_BUFFER_BYTES,
};
pub use request_stream::{RequestStream, WriteProgress};
pub use response_stream::{BodyChunk, ResponseStream};
pub use upload::{BodyError, RequestBodyReader, Upload};
