/** Links between VMs: Netty with protobuf frames. */
package org.balsambank.peer;
