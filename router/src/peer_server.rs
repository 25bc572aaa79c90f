//! The listener for other routers: lookups and inserts of the region's cache, load
//! gossip, and requests to admit by a quota lease that this router owns.

use crate::conversation_error::ConversationError;
use crate::load_gossip;
use crate::peer_links::PEER_FRAME_CAP_BYTES;
use crate::quota_admission;
use crate::router::Router;
use placement::{CacheLookup, LoadUpdate};
use protocol::{ConnectionKind, Frame};
use residency::Mapping;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use transport::link;

/// Accepts connections of other routers for the life of the process.
pub async fn accept(router: Arc<Router>, listener: TcpListener) {
    link::accept(listener, |stream| {
        let router = Arc::clone(&router);
        async move { Ok(serve(router, stream).await?) }
    })
    .await;
}

async fn serve(router: Arc<Router>, mut stream: TcpStream) -> Result<(), ConversationError> {
    let (kind, name) = link::accept_handshake(&mut stream).await?;
    if kind != ConnectionKind::CacheSharing {
        return Err(ConversationError::WrongPeerKind { name, kind });
    }
    while let Some(frame) = link::receive(&mut stream, PEER_FRAME_CAP_BYTES).await? {
        match frame {
            Frame::CacheLookup {
                request_id: number,
                key,
                epoch,
            } => {
                let mapping = cached(&router, &key, epoch).into_iter().collect();
                link::send(
                    &mut stream,
                    &Frame::CacheResult {
                        request_id: number,
                        mapping,
                    },
                )
                .await?;
            }
            Frame::CacheStore(mapping) => router.cache_tiers.insert_regional(&mapping),
            Frame::LoadGossip {
                from,
                scope,
                loads,
                cached_prefixes,
            } => {
                let update = LoadUpdate {
                    loads,
                    cached_prefixes,
                };
                load_gossip::receive(&router, &from, scope, &update);
            }
            Frame::QuotaRequest { request_id, tenant } => {
                let decision = quota_admission::decide_as_owner(&router, &tenant);
                let response = Frame::QuotaResponse {
                    request_id,
                    decision,
                };
                link::send(&mut stream, &response).await?;
            }
            other => return Err(ConversationError::unexpected(other)),
        }
    }
    Ok(())
}

/// What this router's part of the region's cache has for a key. A router whose view
/// is behind the asking one's does not know which mappings were invalidated.
fn cached(router: &Router, key: &str, epoch: u64) -> Option<Mapping> {
    if router.view.borrow().epoch < epoch {
        return None;
    }
    match router.cache_tiers.get_regional(key) {
        CacheLookup::Fresh(mapping) | CacheLookup::Stale(mapping) => Some(mapping),
        CacheLookup::Miss => None,
    }
}
