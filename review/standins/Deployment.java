package review;

/** The operator's configuration of a small deployment, with the routes and limits of the site ribera-colas. */
final class Deployment {
    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final String MODEL = "daka510000";
    static final String PLAIN = "wuno96b";
    static final String ENGINES = "huvo11a";

    private Deployment() {}

    /** Returns the configuration: a streaming, an unsafe and a safe route. */
    static String config() {
        return ("{'Version':7,'Routes':["
                + "{'Name':'r-stream','Host':'" + HOST + "','PathPrefix':'/lohu930/','Kind':'streaming',"
                + "'TimeoutMs':15000,'TargetLatencyMs':1000,'Priority':0,'Service':'" + ENGINES + "','MaxAttempts':1,"
                + "'Public':false,'Sticky':true,'Resumable':false,'TargetGapMs':400},"
                + "{'Name':'r-unsafe','Host':'" + HOST + "','PathPrefix':'/puxa403/','Kind':'unsafe',"
                + "'TimeoutMs':2000,'TargetLatencyMs':386,'Priority':2,'Service':'" + PLAIN + "','MaxAttempts':1,"
                + "'Public':false},"
                + "{'Name':'r-safe','Host':'" + HOST + "','PathPrefix':'/cufi504/','Kind':'safe',"
                + "'TimeoutMs':2000,'TargetLatencyMs':386,'Priority':2,'Service':'" + PLAIN + "','MaxAttempts':2,"
                + "'Public':false}],"
                + "'Services':[{'Name':'" + ENGINES + "','HealthPath':'/health','MaxConnections':360,'Protocol':'h1',"
                + "'Tls':false,'ColdStartS':3.0,'ColdPerS':8.2,'Engine':{'Slots':64,'KvCapacity':114197,"
                + "'KvTokenBytes':163840,'LinkMbps':130000.0,'Stride':2,'Models':[{'Name':'" + MODEL + "',"
                + "'WeightsMb':72700.0,'LoadS':4.3,'Adapters':3000,'AdapterMb':66.0,'WarmS':1.3,'DiskS':1.7}],"
                + "'WeightsMb':74600.0,'AdapterSlots':6,'LoadsPerS':4.2}},"
                + "{'Name':'" + PLAIN + "','HealthPath':'/health','MaxConnections':100,'Protocol':'h1','Tls':false,"
                + "'ColdStartS':0.0,'ColdPerS':0.0}],"
                + "'Limits':{'MaxHeaderBytes':16384,'MaxBodyBytes':4194304,'HeaderTimeoutMs':3000,"
                + "'IdleTimeoutMs':15000},"
                + "'Tenants':[{'Name':'hule930','ApiKeys':['" + KEY + "'],'Priority':1,'Unit':'token_count',"
                + "'PlainTokens':200,'RatePerS':64629,'Burst':64629}]}")
                .replace('\'', '"');
    }
}
