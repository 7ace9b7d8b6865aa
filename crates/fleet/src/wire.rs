//! What `foca` writes, as far as it must be read or cut beside it: a header, how many news follow, the news.

use crate::Identity;
use foca::{Header, Member, State};
use std::net::SocketAddr;

/// Who sent it, and the addresses of those that it holds suspected.
///
/// # Errors
/// Its content makes no sense.
pub fn read(content: &[u8]) -> Result<(SocketAddr, Vec<SocketAddr>), postcard::Error> {
    let (header, rest) = postcard::take_from_bytes::<Header<Identity>>(content)?;
    let mut doubted = Vec::new();
    if let Some((number, mut rest)) = rest.split_first_chunk::<2>() {
        for _ in 0..u16::from_be_bytes(*number) {
            let (member, left) = postcard::take_from_bytes::<Member<Identity>>(rest)?;
            if member.state() == State::Suspect {
                doubted.push(member.id().address);
            }
            rest = left;
        }
    }
    Ok((header.src.address, doubted))
}
