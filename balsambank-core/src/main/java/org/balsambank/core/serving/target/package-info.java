/** The state of targets as known to this VM: announcements, requests in flight and measured performance. */
package org.balsambank.core.serving.target;
