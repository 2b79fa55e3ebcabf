package org.masticcroft.standins.link;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;
import org.masticcroft.standins.fault.Faults;

class LinkStandInTest {
    /** Guards against a cut link that loses bytes or forwards them during the cut. */
    @Test
    void holdsBytesWhileCutAndDeliversThemAfterwards() throws Exception {
        Faults faults = Faults.of(LinkStandIn.FAULTS, 1);
        InetAddress loopback = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        try (ServerSocket target = new ServerSocket(0, 1, loopback)) {
            LinkStandIn link = LinkStandIn.of(new InetSocketAddress(loopback, target.getLocalPort()), 0, 0, faults);
            try (Socket client = new Socket(loopback, link.listen(0));
                    Socket server = target.accept()) {
                client.getOutputStream().write('a');
                assertThat(server.getInputStream().read()).isEqualTo('a');
                faults.set("cut", "true");
                client.getOutputStream().write('b');
                server.setSoTimeout(50);
                assertThatThrownBy(() -> server.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
                faults.set("cut", "false");
                server.setSoTimeout(10_000);
                assertThat(server.getInputStream().read()).isEqualTo('b');
            }
        }
    }
}
