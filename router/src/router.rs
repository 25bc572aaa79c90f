//! The state that all parts of a router share.

use crate::cache_tiers::CacheTiers;
use crate::in_flight::InFlight;
use crate::lease::Lease;
use crate::load_gossip::LoadAggregation;
use crate::membership::Membership;
use crate::peer_links::PeerLinks;
use crate::pending_lookups::PendingLookups;
use crate::quota_admission::OwnershipBasis;
use crate::settings::Settings;
use dispatch::quota::QuotaLimiter;
use dispatch::{Dispatcher, ReadAheadBudget};
use parking_lot::{Mutex, RwLock};
use placement::{Drain, ReplicaPosition};
use protocol::RouterAvailability;
use residency::View;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use telemetry::metrics::Metrics;
use tokio::sync::watch;
use transport::uploads::BodyBudget;

/// A running router. Invariant: the view's epoch only rises.
pub struct Router {
    pub(crate) settings: Settings,
    /// The replicated state as this router holds it; set by the session alone.
    pub(crate) view: watch::Sender<Arc<View>>,
    /// Which state the view is of. Invariant: the view is never older.
    pub(crate) view_position: Mutex<ReplicaPosition>,
    pub(crate) lease: Lease,
    /// Set when it drains: it still accepts requests, and tells others that it leaves.
    pub(crate) drain: OnceLock<Drain>,
    /// It accepts no new requests.
    pub(crate) is_stopped: AtomicBool,
    /// The process is about to end: requests that have no answer yet get one.
    pub(crate) is_exiting: watch::Sender<bool>,
    pub(crate) membership: Arc<RwLock<Membership>>,
    pub(crate) peer_links: PeerLinks,
    pub(crate) load_aggregation: LoadAggregation,
    pub(crate) cache_tiers: CacheTiers,
    pub(crate) pending_lookups: PendingLookups,
    pub(crate) quota: QuotaLimiter,
    /// What the tenants were worked out from whose quota leases this router owns.
    pub(crate) ownership_basis: Mutex<OwnershipBasis>,
    pub(crate) dispatcher: Dispatcher,
    /// What the bodies of clients' requests may hold.
    pub(crate) bodies: BodyBudget,
    /// For bodies of requests that are being looked up.
    pub(crate) read_ahead: ReadAheadBudget,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) in_flight: InFlight,
}

impl Router {
    /// Returns when the process is about to end.
    pub(crate) async fn exiting(&self) {
        // An error would say that this router is gone.
        drop(
            self.is_exiting
                .subscribe()
                .wait_for(|is_exiting| *is_exiting)
                .await,
        );
    }

    /// Whether it was told to leave.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// What it does with new requests, as others are told.
    pub(crate) fn availability(&self) -> RouterAvailability {
        match self.is_draining() {
            true => RouterAvailability::Draining,
            false if self.lease.check().is_ok() => RouterAvailability::Ready,
            false => RouterAvailability::WithoutLease,
        }
    }

    /// Whether clients are to be sent here.
    pub fn is_ready(&self) -> bool {
        self.view.borrow().epoch > 0 && self.availability() == RouterAvailability::Ready
    }
}
