package org.balsambank.core.serving.duty;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.ServiceName;
import org.balsambank.core.serving.placement.HeldClaim;

/**
 * Calls the interface of the platform for duties. Nothing can be read back from it.
 *
 * <p>Each call carries the holder and the fencing token of the claim under which it is made. Nothing is sent once the
 * claim is no longer valid, also if the connection takes time to open. Confined to the decision loop.
 */
public interface DutyClient {
    /**
     * Reports a window of usage.
     *
     * @param claim the claim on the subject
     * @param body the exact body
     * @return the outcome; never fails
     */
    Single<DutyOutcome> reportUsage(HeldClaim claim, String body);

    /**
     * Orders the number of targets of a service in a failure domain.
     *
     * @param claim the claim on the subject
     * @param service the service
     * @param domain the failure domain
     * @param count the number of targets
     * @return the outcome; never fails
     */
    Single<DutyOutcome> orderTargets(HeldClaim claim, ServiceName service, FailureDomain domain, int count);

    /**
     * Formats the body of a report.
     *
     * @param report the report
     * @return the body, the same text for equal reports
     */
    String formatUsage(UsageReport report);

    /**
     * Returns the sum of the counts in the body of a report, for the log.
     *
     * @param body the body
     * @return the number of requests, -1 if the body can't be read
     */
    long usageSum(String body);
}
