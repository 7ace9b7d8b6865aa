//! What `foca` writes, as far as it must be read or cut beside it: a header, how many news follow, the news.

use crate::Identity;
use foca::{Header, Member, Message, State};
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

/// Whether it only carries news or asks for them, and its length without news.
///
/// # Errors
/// Its content makes no sense.
pub fn head(content: &[u8]) -> Result<(bool, usize), postcard::Error> {
    let (header, rest) = postcard::take_from_bytes::<Header<Identity>>(content)?;
    let news =
        matches!(header.message, Message::Feed | Message::Gossip | Message::Announce | Message::Broadcast);
    let number = rest.len().min(2);
    Ok((news, content.len() - rest.len() + number))
}

/// Cuts news off that have no room; the first, which `foca` has told least often, stay.
///
/// # Errors
/// Its content makes no sense.
pub fn cut(content: &mut Vec<u8>, room: usize) -> Result<(), postcard::Error> {
    let (_, without) = head(content)?;
    let (mut number, mut end) = (0u16, without);
    while end < content.len() {
        let (_, rest) = postcard::take_from_bytes::<Member<Identity>>(&content[end..])?;
        if content.len() - rest.len() > room {
            break;
        }
        (number, end) = (number + 1, content.len() - rest.len());
    }
    content.truncate(end);
    if let Some(place) = content.get_mut(without.saturating_sub(2)..without).filter(|place| place.len() == 2)
    {
        place.copy_from_slice(&number.to_be_bytes());
    }
    Ok(())
}
