//! Sockets of targets and callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;

use super::Input;

pub(super) async fn listen(at: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(at).await?))
}

/// Sends a datagram. A full system buffer counts as ordinary packet loss.
pub(super) fn send(socket: &UdpSocket, packet: &Bytes, to: SocketAddr) {
    let _ = socket.try_send_to(packet, to);
}

/// Forwards received datagrams to the main loop until the run ends.
pub(super) fn receive(
    socket: &Arc<UdpSocket>,
    inputs: &UnboundedSender<Input>,
    input: impl Fn(Bytes) -> Input + Send + 'static,
) {
    let (socket, inputs) = (Arc::clone(socket), inputs.clone());
    tokio::spawn(async move {
        let mut buf = [0; 2_048];
        loop {
            // Errors are ICMP responses to earlier datagrams whose receiver was not running.
            if let Ok((len, _)) = socket.recv_from(&mut buf).await {
                let bytes = Bytes::copy_from_slice(&buf[..len]);
                if inputs.send(input(bytes)).is_err() {
                    return;
                }
            }
        }
    });
}
