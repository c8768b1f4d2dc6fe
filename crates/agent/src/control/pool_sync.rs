//! Synchronization of peers, services and revision number from balancers.

use std::net::SocketAddr;

use citronhollow_core::config::Revision;
use citronhollow_peer::message::{HeartbeatReply, PoolReply, PoolRequest};
use citronhollow_peer::{Body, exchange};

use super::{Control, Millis, TrafficCommand};

/// Shortest time between two pulls, so that balancers whose views differ do not keep the agent
/// busy.
const PULL_INTERVAL: Millis = Millis::from_secs(1);

impl Control {
    /// Pulls the pool from the balancer if its digest differs and its revision is not older.
    pub(super) fn pull_if_changed(&mut self, reply: &HeartbeatReply, from: SocketAddr) {
        if reply.revision < self.known.revision.number {
            return;
        }
        if self.known.digest == Some(reply.peers_digest) {
            self.raise_revision(reply.revision);
            self.send_to_traffic(TrafficCommand::PeersConfirmed);
            return;
        }
        let now = self.now();
        if now < self.pulls.next_at {
            return;
        }
        self.pulls.next_at = now.after(PULL_INTERVAL);
        self.pull(from);
    }

    /// Raises the revision number alone. The digest covers the services, so if it is unchanged,
    /// only the number is new.
    fn raise_revision(&mut self, number: u64) {
        if number > self.known.revision.number {
            self.known.revision.number = number;
            self.send_to_traffic(TrafficCommand::Services(self.known.revision.clone()));
        }
    }

    fn pull(&self, from: SocketAddr) {
        let Some(record) = self.record.current() else {
            return;
        };
        let group = record.group.0;
        let keys = self.keys.clone();
        let tx = self.pulls.tx.clone();
        tokio::spawn(async move {
            let body = Body::PoolRequest(PoolRequest { group });
            match exchange::request(from, keys, body).await {
                Ok(Body::PoolReply(reply)) => {
                    // Sending fails only when the process stops.
                    let _ = tx.send(reply).await;
                }
                Ok(_) => log::debug!("control: unexpected answer from {from} to a pool request"),
                Err(error) => log::debug!("control: pull from {from} failed: {error}"),
            }
        });
    }

    pub(super) fn on_pool(&mut self, reply: &PoolReply) {
        let revision: Revision = match serde_json::from_slice(&reply.revision_json) {
            Ok(revision) => revision,
            Err(error) => {
                log::warn!("control: services rejected: {error}");
                return;
            }
        };
        if revision.number < self.known.revision.number {
            return;
        }
        self.known.digest = Some(reply.peers_digest);
        if self.peers.merge(&reply.peers, revision.number) {
            self.send_to_traffic(TrafficCommand::Peers(self.peers.records()));
        } else {
            self.send_to_traffic(TrafficCommand::PeersConfirmed);
        }
        if revision != self.known.revision {
            log::info!("control: revision {} is in force", revision.number);
            self.known.revision = revision.clone();
            self.send_to_traffic(TrafficCommand::Services(revision));
        }
    }
}
