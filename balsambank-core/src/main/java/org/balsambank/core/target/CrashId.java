package org.balsambank.core.target;

import org.balsambank.core.id.BootId;
import org.balsambank.core.id.TargetId;

/**
 * Identifies a crash of a target. Each boot of a target crashes at most once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the target that crashed
 * @param boot the boot that the crash ended
 */
public record CrashId(TargetId target, BootId boot) {}
